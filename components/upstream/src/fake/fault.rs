use clock::Millis;

/// A fault in the handling of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection is opened.
    Refuse,
    /// The connection is lost before the request's last byte; it isn't executed.
    CloseBefore,
    /// The connection is lost after the request's last byte; it is executed, without a response.
    CloseAfter,
    /// The request is refused with 503 before it is executed.
    Shed,
    /// The request is executed and then refused with 503.
    RunThenShed,
    /// The request is executed, and the response's head is delayed by this time.
    Late(Millis),
    /// The connection is lost halfway through the response's body.
    DieHalfway,
    /// The response ends cleanly one byte short of the declared length.
    Short,
    /// The response carries bytes of the next one after its declared length.
    Long,
    /// The response has another request's id, as on a connection with bytes of an earlier response.
    Mixed,
    /// The content changes before the response to this request.
    Change,
}

impl Fault {
    /// Parses the fault's name in session files.
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
