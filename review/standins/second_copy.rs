//! A new version takes over while a host hangs with a call of the old process. The new process is killed
//! outright, and the relay starts again.
#[path = "common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Instant;

/// Whether the other side has neither closed nor reset the connection.
fn is_open(stream: &TcpStream) -> bool {
    let _ignored = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ignored = stream.set_nonblocking(false);
    matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

fn main() {
    let record = Record::create(std::path::Path::new(&std::env::args().nth(1).expect("the record's path")));
    limit_time(ms(100_000));
    // Calls that are out: message, connection, and since when.
    let out: Arc<Mutex<Vec<(String, TcpStream, Instant)>>> = Arc::default();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let hangs: Arc<Mutex<bool>> = Arc::new(Mutex::new(false));
    let host = {
        let (record, out, broken, hangs) = (record.clone(), out.clone(), broken.clone(), hangs.clone());
        host(move |call, stream| {
            let what = if call.id.is_empty() { "a probe" } else { &call.id };
            record.line(&format!("host: {what} received on connection {}", call.conn));
            if !call.id.is_empty() {
                let mut out = out.lock().unwrap();
                for (_, _, since) in out.iter().filter(|o| o.0 == call.id && is_open(&o.1)) {
                    let text = format!(
                        "a second copy of {} came while the first, {} ms old, is still out on an open connection",
                        call.id,
                        since.elapsed().as_millis()
                    );
                    record.line(&text);
                    broken.lock().unwrap().push(text);
                }
                out.push((call.id.clone(), stream.try_clone().unwrap(), call.at));
            }
            if *hangs.lock().unwrap() {
                // The host takes calls and answers none.
                while is_open(stream) {
                    sleep(ms(5));
                }
                record.line(&format!(
                    "host: connection {} with {} ended after {} ms with no answer",
                    call.conn,
                    what,
                    call.at.elapsed().as_millis()
                ));
                out.lock().unwrap().retain(|o| o.2 != call.at);
                return false;
            }
            sleep(ms(150));
            out.lock().unwrap().retain(|o| o.2 != call.at);
            record.line(&format!("host: {what} answered 200"));
            stream.write_all(OK).is_ok()
        })
    };
    let healthy = common::host(move |_, stream| {
        sleep(ms(150));
        stream.write_all(OK_AND_CLOSE).is_ok() && false
    });
    let entries = [Entry::new("s-a", host, 1), Entry::new("s-b", healthy, 2)];
    let agent = Agent::start(&record, 41, entries.to_vec());
    let place = Arc::new(Place::create(&record, agent.address, &entries_json(41, &entries), "push", 2));
    let old = place.start();
    place.wait_ready(&old);
    // Most of the traffic is for another destination, which answers all the time.
    let over = place.traffic("stock", "other-", vec![2], ms(100));
    sleep(ms(1000));
    *hangs.lock().unwrap() = true;
    record.line("host: hangs from now on");
    place.hand_in("orders", "order-1", 1, 24_000);
    place.hand_in("orders", "order-2", 1, 24_000);
    sleep(ms(300));
    let new = place.start();
    place.wait_ready(&new);
    sleep(ms(300));
    if trouble() {
        place.kill(&new);
        sleep(ms(600));
        let again = place.start();
        place.wait_ready(&again);
    }
    sleep(ms(5000));
    *hangs.lock().unwrap() = false;
    record.line("host: answers again");
    over.store(true, std::sync::atomic::Ordering::SeqCst);
    sleep(ms(6000));
    let broken = broken.lock().unwrap();
    verdict(&record, &broken);
}
