use std::path::{Path, PathBuf};

/// Where the programs are.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// The data plane.
    pub entryd: PathBuf,
    /// The control plane's agent.
    pub controld: PathBuf,
    /// The stand-ins.
    pub standin: PathBuf,
}

impl Binaries {
    /// The programs that stand beside each other in `directory`, as cargo builds them.
    pub fn in_directory(directory: &Path) -> Binaries {
        Binaries {
            entryd: directory.join("entryd"),
            controld: directory.join("controld"),
            standin: directory.join("standin"),
        }
    }
}
