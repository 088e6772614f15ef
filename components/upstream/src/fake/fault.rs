use clock::Millis;

/// What goes wrong with the next request that reaches a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection is opened.
    Refuse,
    /// The connection is lost before the request's last byte; it doesn't run.
    CloseBefore,
    /// The connection is lost after the request's last byte; it runs, without an answer.
    CloseAfter,
    /// The request is refused with 503 before it runs.
    Shed,
    /// The request runs and is then refused with 503.
    RunThenShed,
    /// The request runs and the answer's head is late.
    Late(Millis),
    /// The connection is lost halfway through the answer's body.
    DieHalfway,
    /// The answer ends cleanly one byte short of the declared length.
    Short,
    /// The answer carries bytes of the next one after its declared length.
    Long,
    /// The answer names another request, as on a connection with bytes left from a former one.
    Mixed,
    /// The entity changes before this request is answered.
    Change,
}

impl Fault {
    /// The fault's name in session files.
    pub fn parse(name: &str) -> Option<Fault> {
        let fault = match name {
            "refuse" => Fault::Refuse,
            "close-before" => Fault::CloseBefore,
            "close-after" => Fault::CloseAfter,
            "shed" => Fault::Shed,
            "run-then-shed" => Fault::RunThenShed,
            "die-halfway" => Fault::DieHalfway,
            "short" => Fault::Short,
            "long" => Fault::Long,
            "mixed" => Fault::Mixed,
            "change" => Fault::Change,
            _ => return Fault::parse_late(name),
        };
        Some(fault)
    }

    fn parse_late(name: &str) -> Option<Fault> {
        let span = name.strip_prefix("late-")?.parse().ok()?;
        Some(Fault::Late(Millis(span)))
    }
}
