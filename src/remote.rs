//! The connection of a command to a control process.

use crate::failure::Failure;
use operator::{Api, Client, Key};
use settings::name;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::{fs, io};

/// Address and key of a control process, and the id of the operation, as given on the command line.
#[derive(Debug)]
pub struct Remote {
    /// The address of the control process's listener for operators.
    pub address: Option<SocketAddr>,
    /// The file with the operators' key.
    pub key_file: Option<PathBuf>,
    /// An entry VM's settings file, for the address and the key if they aren't given.
    pub settings: Option<PathBuf>,
    /// The id of the operation; a random one is generated if it isn't given.
    pub operation: Option<Arc<str>>,
}

impl Remote {
    /// A client of the control process; no request is sent yet.
    ///
    /// # Errors
    ///
    /// [`Failure`] when the address or the key is missing, or a file with them can't be read or is
    /// invalid.
    pub fn connect(&self) -> Result<Arc<dyn Api>, Failure> {
        let vm = self.settings.as_deref().map(settings::load_node).transpose()?;
        let address = self.address.or_else(|| vm.as_ref().map(|vm| vm.operator));
        let address = address.ok_or_else(|| missing("--node or --settings"))?;
        let key = match &self.key_file {
            Some(path) => read_key(path)?,
            None => vm.ok_or_else(|| missing("--key-file or --settings"))?.operator_key,
        };
        Ok(Arc::new(Client::new(address, Key::new(key))?))
    }

    /// The id of the operation, given or random.
    ///
    /// # Errors
    ///
    /// [`Failure::Usage`] when the given id has a wrong format.
    pub fn operation(&self) -> Result<Arc<str>, Failure> {
        match &self.operation {
            Some(id) if name::is_valid(id) => Ok(Arc::clone(id)),
            Some(_) => Err(Failure::Usage(format!("--operation takes {}", name::ALLOWED))),
            None => Ok(format!("op-{:032x}", rand::random::<u128>()).into()),
        }
    }
}

fn missing(options: &str) -> Failure {
    Failure::Usage(format!("this command talks to a control process: give {options}"))
}

fn read_key(path: &Path) -> Result<Arc<str>, Failure> {
    let unreadable = |error: io::Error| {
        Failure::Usage(format!("the key file {} can't be read: {error}", path.display()))
    };
    Ok(fs::read_to_string(path).map_err(unreadable)?.trim().into())
}
