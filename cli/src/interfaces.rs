//! Maps the interface names of the settings to their implementations.

use std::sync::Arc;

use heatherring_lib::direct_settings::DirectSettings;
use heatherring_lib::settings::ControlSettings;
use heatherring_lib::settings::InterfaceName;
use heatherring_platform::Platform;
use heatherring_server::interface::ControlInterface;
use heatherring_server::interface::EntryInterface;
use heatherring_server::own_interface::OwnInterface;

/// Returns the interface of a control replica, or `None` if it does not serve direct dispatch.
pub fn control(settings: &ControlSettings) -> Option<Arc<dyn ControlInterface>> {
    let direct = settings.direct.as_ref()?;
    Some(match direct.interface {
        InterfaceName::Heatherring => Arc::new(OwnInterface),
        InterfaceName::Platform => Arc::new(Platform),
    })
}

/// Returns the interface of an entry VM that dispatches directly.
pub fn entry(settings: &DirectSettings) -> Arc<dyn EntryInterface> {
    match settings.interface {
        InterfaceName::Heatherring => Arc::new(OwnInterface),
        InterfaceName::Platform => Arc::new(Platform),
    }
}
