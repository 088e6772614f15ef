//! The control process that a command talks to.

use crate::failure::Failure;
use operator::{Api, Client, Key};
use settings::name;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::{fs, io};

/// How to reach a control process, and under which id to act.
#[derive(Debug)]
pub struct Remote {
    /// The address of its listener for operators.
    pub node: Option<SocketAddr>,
    /// The file with the operators' key.
    pub key_file: Option<PathBuf>,
    /// A node's own settings file, which gives what the other two leave out.
    pub settings: Option<PathBuf>,
    /// The id of the act; a new one is made when it is left out.
    pub operation: Option<Arc<str>>,
}

impl Remote {
    /// The interface of the control process.
    ///
    /// # Errors
    ///
    /// [`Failure`] when address or key are missing, or the files that give them are wrong.
    pub fn connect(&self) -> Result<Arc<dyn Api>, Failure> {
        let node = self.settings.as_deref().map(settings::load_node).transpose()?;
        let address = self.node.or_else(|| node.as_ref().map(|node| node.operator));
        let address = address.ok_or_else(|| missing("--node or --settings"))?;
        let key = match &self.key_file {
            Some(path) => read_key(path)?,
            None => node.ok_or_else(|| missing("--key-file or --settings"))?.operator_key,
        };
        Ok(Arc::new(Client::new(address, Key::new(key))?))
    }

    /// The id under which to act.
    ///
    /// # Errors
    ///
    /// [`Failure::Usage`] when the given id can't be one.
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
    let refuse = |error: io::Error| {
        Failure::Usage(format!("the key file {} can't be read: {error}", path.display()))
    };
    Ok(fs::read_to_string(path).map_err(refuse)?.trim().into())
}
