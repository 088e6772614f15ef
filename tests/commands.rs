//! Sessions of the command line against an in-memory control process.
//!
//! Steps: `run WORDS` runs heatherbend with the control process's address and key, `local WORDS`
//! without them, and `stranger WORDS` with a wrong key. `lose-answer` loses the response to the next
//! operation after its commit. `race OPERATION` commits another operator's operation between the read
//! and the commit of the next one. `stop` closes the control process's listener.

use clock::Millis;
use daemon::Listener;
use operator::fake::Control;
use operator::{Api, Key, router};
use session::{Script, Step};
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Arc, PoisonError, RwLock};
use tokio::runtime::Runtime;

const OPERATOR_KEY: &str = "0123456789abcdef0123456789abcdef";
const WRONG_KEY: &str = "an-operator-of-some-other-system-0";
const ID_DIGITS: usize = 32;

/// Held for reading while a process is spawned, and for writing while a listener closes. A process
/// that another session spawns holds a copy of the listening socket until it executes its program,
/// and the copy would accept connections after the close.
static SPAWN_LOCK: RwLock<()> = RwLock::new(());

struct World {
    runtime: Runtime,
    control: Arc<Control>,
    listener: Option<Listener>,
    address: SocketAddr,
    keys: PathBuf,
    transcript: Vec<String>,
}

impl World {
    fn open(keys: PathBuf) -> Result<World, Box<dyn Error>> {
        fs::create_dir_all(&keys)?;
        fs::write(keys.join("right"), OPERATOR_KEY)?;
        fs::write(keys.join("wrong"), WRONG_KEY)?;
        let runtime = Runtime::new()?;
        let control = Arc::new(Control::default());
        let api: Arc<dyn Api> = Arc::<Control>::clone(&control);
        let any: SocketAddr = "127.0.0.1:0".parse()?;
        let router = router(Key::new(OPERATOR_KEY.into()), api);
        let listener = runtime.block_on(Listener::open(any, router))?;
        let address = listener.address();
        let listener = Some(listener);
        Ok(World { runtime, control, listener, address, keys, transcript: Vec::new() })
    }

    fn execute(&mut self, step: &Step) -> Result<(), Box<dyn Error>> {
        match step.verb.as_str() {
            "run" => {
                self.run(step, &["--node", &self.address.to_string(), "--key-file", "right"])?
            }
            "stranger" => {
                self.run(step, &["--node", &self.address.to_string(), "--key-file", "wrong"])?;
            }
            "local" => self.run(step, &[])?,
            "lose-answer" => self.control.drop_next_response(),
            "race" => self.control.race_next_change(&step.words.join(" ")),
            "stop" => self.stop(),
            other => return Err(format!("unknown step `{other}`").into()),
        }
        Ok(())
    }

    fn run(&mut self, step: &Step, remote: &[&str]) -> Result<(), Box<dyn Error>> {
        let remote = remote.iter().map(|word| match *word {
            "right" | "wrong" => self.keys.join(word).display().to_string(),
            other => other.to_owned(),
        });
        let mut command = Command::new(env!("CARGO_BIN_EXE_heatherbend"));
        command
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .args(&step.words)
            .args(remote)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let child = {
            let _spawning = SPAWN_LOCK.read().unwrap_or_else(PoisonError::into_inner);
            command.spawn()?
        };
        let result = child.wait_with_output()?;
        self.record(&format!("$ heatherbend {}", step.words.join(" ")));
        for line in String::from_utf8(result.stdout)?.lines() {
            self.record(line);
        }
        for line in String::from_utf8(result.stderr)?.lines() {
            self.record(&format!("! {line}"));
        }
        let code = result.status.code().ok_or("heatherbend was killed")?;
        self.record(&format!("exit {code}"));
        Ok(())
    }

    fn record(&mut self, line: &str) {
        let line = line.replace(&self.address.to_string(), "ADDRESS");
        self.transcript.push(hide_ids(&line));
    }

    fn stop(&mut self) {
        if let Some(listener) = self.listener.take() {
            let _closing = SPAWN_LOCK.write().unwrap_or_else(PoisonError::into_inner);
            self.runtime.block_on(listener.close(Millis::from_secs(1)));
        }
    }
}

/// Replaces the random part of operation ids.
fn hide_ids(line: &str) -> String {
    let Some((before, after)) = line.split_once("op-") else {
        return line.to_owned();
    };
    let digits = after.chars().take_while(char::is_ascii_hexdigit).count();
    if digits < ID_DIGITS {
        return format!("{before}op-{}", hide_ids(after));
    }
    format!("{before}op-ID{}", hide_ids(&after[digits..]))
}

fn play(path: &Path) -> datatest_stable::Result<()> {
    let name = path.file_stem().ok_or("a session is a file")?;
    let keys = Path::new(env!("CARGO_TARGET_TMPDIR")).join("keys").join(name);
    session::check(path, |script: &Script| {
        let mut world = World::open(keys)?;
        for step in &script.steps {
            world.execute(step)?;
        }
        world.stop();
        Ok(world.transcript)
    })?;
    Ok(())
}

datatest_stable::harness! {
    { test = play, root = "tests/commands", pattern = r"\.session$" },
}
