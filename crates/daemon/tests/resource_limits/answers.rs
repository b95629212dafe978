//! Callers ask for large answers and don't read them.
//!
//! What the operator saw: a gateway held the whole answers of all callers that had stopped reading.

use crate::crowd::Crowd;
use crate::request::{Framing, head};
use crate::small_machine::SmallMachine;
use sorrellock_stand_ins::ServiceMode;
use std::io::{self, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Number of clients whose answers together are larger than the machine's memory.
const CLIENTS: usize = 60;
/// Size of an answer, in bytes.
const ANSWER_BYTES: usize = 4 << 20;
/// How long a client reads nothing.
const READS_NOTHING_FOR: Duration = Duration::from_secs(4);

fn ask_and_read_nothing(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&head(Framing::Length(0)).1)?;
    thread::sleep(READS_NOTHING_FOR);
    Ok(())
}

#[test]
fn answers_that_nobody_reads() {
    let mut machine = SmallMachine::start();
    machine.fleet.service.set_mode(ServiceMode::ServesLarge(ANSWER_BYTES));
    let crowd = Crowd::start(machine.gateway.callers(), CLIENTS, ask_and_read_nothing);
    crowd.wait_placed();

    machine.fleet.service.set_mode(ServiceMode::Serves);

    machine.bear(crowd);
}
