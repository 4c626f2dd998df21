//! Which messages get the slots when slots are short. Each test simulates a production situation: a stream of
//! some thousand messages on a manual clock, for partners with fixed response times.
mod common;
use common::*;
use linenhall::*;
use std::collections::BTreeMap;

/// How a partner reacts to a call.
#[derive(Clone, Copy)]
enum Reply {
    /// Delivers the message after this time in milliseconds.
    After(f64),
    /// Turns the call away after 5 ms with this Retry-After in milliseconds.
    Wait(f64),
    /// Never answers.
    Never,
}
use Reply::*;

/// A simulated partner.
#[derive(Clone, Copy)]
struct Partner {
    /// Messages per second for it.
    rate: f64,
    /// Reply to a call, by the time since the start in milliseconds and the number of the call.
    reply: fn(f64, usize) -> Reply,
}

fn partner(rate: f64, reply: fn(f64, usize) -> Reply) -> Partner {
    Partner { rate, reply }
}

/// How a partner's messages ended, without those of the first second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct OutcomeCounts {
    in_time: usize,
    late: usize,
    refused: usize,
    /// Value of the delivered messages.
    value: f64,
    /// Full value of all submitted messages.
    submitted_value: f64,
}

/// Settings with two classes as in production; the value halves with each aim.
fn production_settings() -> Settings {
    let orders = Class { aim_ms: 2000.0, deadline_ms: 10000.0, late_value: 0.3, ..class(Effect::Keyed) };
    let updates =
        Class { aim_ms: 800.0, deadline_ms: 6000.0, value: 3.0, late_value: 0.1, ..class(Effect::Safe) };
    let classes = vec![orders, updates];
    Settings { max_open: 400, retry_after: true, value_decay: ValueDecay::Halving, classes, ..settings() }
}

/// Simulates `duration_ms` in steps of 5 ms and returns the outcomes; messages of the first second do not
/// count.
fn simulate(
    settings: Settings, partners: &[Partner], class: impl Fn(u64) -> usize, duration_ms: f64,
) -> Vec<OutcomeCounts> {
    simulate_with_send_times(settings, partners, class, duration_ms).0
}

/// As [`simulate`], also returns for each partner when calls were sent, in milliseconds since the start.
fn simulate_with_send_times(
    settings: Settings, partners: &[Partner], class: impl Fn(u64) -> usize, duration_ms: f64,
) -> (Vec<OutcomeCounts>, Vec<Vec<f64>>) {
    let classes = settings.classes.clone();
    let mut harness = Harness::new(settings, partners.len() as u64);
    let mut in_flight: Vec<(f64, Event)> = Vec::new();
    // Destination, arrival time and class of each message.
    let mut submitted = BTreeMap::<u64, (usize, f64, usize)>::new();
    let mut attempts = BTreeMap::<u64, u32>::new();
    // Messages due and not yet submitted, with their fraction.
    let mut arrivals = vec![0.0; partners.len()];
    let mut counts = vec![OutcomeCounts::default(); partners.len()];
    let mut sent = vec![Vec::new(); partners.len()];
    let start = harness.now;
    while harness.now < start + duration_ms {
        harness.now += 5.0;
        let now = harness.now;
        let (ended_now, still_in_flight): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|f| f.0 <= now);
        in_flight = still_in_flight;
        let mut events: Vec<Event> = ended_now.into_iter().map(|f| f.1).collect();
        for (destination, partner) in partners.iter().enumerate() {
            arrivals[destination] += partner.rate * 0.005;
            while arrivals[destination] >= 1.0 {
                arrivals[destination] -= 1.0;
                let class = class(submitted.len() as u64);
                let (id, mut event) = harness.request(class, destination as u64);
                if let Event::Request { due, .. } = &mut event {
                    *due = now + classes[class].deadline_ms;
                }
                submitted.insert(id, (destination, now, class));
                counts[destination].submitted_value +=
                    if now > start + 1000.0 { classes[class].value } else { 0.0 };
                events.push(event);
            }
        }
        for event in &events {
            if let Event::Ended { id, outcome: Outcome::Delivered, .. } = event {
                let (destination, arrived_at, class) = submitted[id];
                let (counts, class) = (&mut counts[destination], &classes[class]);
                if arrived_at > start + 1000.0 {
                    let late_by_aims = (now - arrived_at - class.aim_ms).max(0.0) / class.aim_ms;
                    *if late_by_aims > 0.0 { &mut counts.late } else { &mut counts.in_time } += 1;
                    counts.value += class.value * 0.5f64.powf(late_by_aims).max(class.late_value);
                }
            }
        }
        events.push(Event::Timer { token: 0 });
        harness.handle(&events);
        for action in harness.last_actions.clone() {
            let Action::Send { id, endpoint, timeout_ms, .. } = action else { continue };
            let destination: usize =
                endpoint[1..].parse().expect("endpoints are named after their destination");
            let attempt = attempts.entry(id).or_default();
            sent[destination].push(now - start);
            let timeout = timeout_ms.unwrap_or(f64::MAX);
            in_flight.push(match (partners[destination].reply)(now - start, sent[destination].len()) {
                After(took) if took < timeout => (now + took, ended(id, *attempt, Outcome::Delivered, took)),
                Wait(wait) => (now + 5.0, ended_full(id, *attempt, wait)),
                After(_) | Never => (now + timeout, ended(id, *attempt, Outcome::TimedOut, timeout)),
            });
            *attempt += 1;
        }
        for action in &harness.last_actions {
            match action {
                Action::Refuse { id, .. } if submitted[id].1 > start + 1000.0 => {
                    counts[submitted[id].0].refused += 1
                }
                Action::Cancel { id, attempt } => {
                    let is_end_of_attempt = |e: &Event| matches!(e, Event::Ended { id: x, attempt: n, .. } if (x, n) == (id, attempt));
                    let cancelled = in_flight.iter_mut().find(|f| is_end_of_attempt(&f.1));
                    cancelled
                        .into_iter()
                        .for_each(|f| *f = (now, ended(*id, *attempt, Outcome::Cancelled, 0.0)));
                }
                _ => {}
            }
        }
        harness.relay.audit().expect("audit failed");
    }
    (counts, sent)
}

/// Returns the number of calls that the slow-start rule allows between two times, to a destination that
/// recovered at `recovered_at` and takes `rate` calls per second when it is warm.
fn allowed_calls(settings: &Settings, rate: f64, recovered_at: f64, (from, to): (f64, f64)) -> f64 {
    let warm = (((from + to) / 2.0 - recovered_at) / settings.warm_after_ms).clamp(0.0, 1.0);
    settings.fall_multiple * (settings.cold_share + (1.0 - settings.cold_share) * warm) * rate * (to - from)
        / 1000.0
}

/// Two fast partners with much traffic, a slow one, and five whose queues wait for a Retry-After and not for
/// slots.
fn mixed_partners() -> Vec<Partner> {
    let mut partners = vec![
        partner(150.0, |_, _| After(35.0)),
        partner(40.0, |_, _| After(55.0)),
        partner(8.0, |_, _| After(900.0)),
    ];
    partners.extend((0..5).map(|_| partner(3.0, |_, _| Wait(1500.0))));
    partners
}

/// Returns the value delivered as a share of the value submitted.
fn delivered_share(counts: &[OutcomeCounts]) -> f64 {
    counts.iter().map(|e| e.value).sum::<f64>() / counts.iter().map(|e| e.submitted_value).sum::<f64>()
}

/// Guards against turns that count sends and not the time that a send holds its slot: a partner that takes
/// 900 ms then gets as many slots as it can use, while the messages for a fast one expire in their queue.
/// Credits that have all fallen to their cap cannot tell the queues apart either.
#[test]
fn short_slots_go_to_the_partners_that_need_least_slot_time_for_a_delivery() {
    let counts = simulate(production_settings(), &mixed_partners(), |n| usize::from(n % 3 == 0), 12000.0);
    println!("{:.3} {counts:?}", delivered_share(&counts));
    assert!(
        delivered_share(&counts) >= 0.72,
        "share of value delivered {}: {counts:?}",
        delivered_share(&counts)
    );
    assert!(counts[2].in_time + counts[2].late > 2, "the slow partner is shut out: {counts:?}");
}

/// A full queue sheds messages that have lost most of their value before new ones.
#[test]
fn a_full_queue_sheds_late_messages_before_new_ones() {
    let partners = [partner(140.0, |_, _| After(50.0))];
    let settings = Settings { max_open: 120, slots: 4, ..production_settings() };
    let counts = simulate(settings, &partners, |n| usize::from(n % 3 == 0), 12000.0);
    println!("{:.3} {counts:?}", delivered_share(&counts));
    assert!(
        delivered_share(&counts) >= 0.6 && counts[0].late < 20,
        "share of value delivered {}: {counts:?}",
        delivered_share(&counts)
    );
}

/// Half of the partners become slow at once, with time-outs and no errors; the others must keep their
/// service.
///
/// Two of the three answer nothing and are cold when they recover. None may get more calls then than the
/// slow-start rule allows (N, with a tolerance of 3 * sqrt(N) + 3 for random variation), and the three must
/// get at least half of what the rule permits. A share of all submitted messages is no bound for this: 0.4 of
/// them was only reached with 63 and 42 calls in spans in which 37 and 32 are allowed.
#[test]
fn slow_partners_do_not_take_the_slots_of_others_and_recover_within_slow_start() {
    const SLOW_MS: (f64, f64) = (3000.0, 8000.0);
    const RATE_PER_S: f64 = 12.0;
    const END_MS: f64 = 12000.0;
    let silent = |ms, _| if (SLOW_MS.0..SLOW_MS.1).contains(&ms) { Never } else { After(60.0) };
    let slow = |ms, _| if (SLOW_MS.0..SLOW_MS.1).contains(&ms) { After(1500.0) } else { After(60.0) };
    let healthy = |_, _| After(60.0);
    let partners: Vec<Partner> = [silent, silent, slow]
        .map(|reply| partner(RATE_PER_S, reply))
        .into_iter()
        .chain((0..3).map(|_| partner(20.0, healthy)))
        .collect();
    let settings = production_settings();
    let (counts, sent) =
        simulate_with_send_times(settings.clone(), &partners, |n| usize::from(n % 3 == 0), END_MS);
    println!(
        "{:.3}, the healthy partners {:.3} {counts:?}",
        delivered_share(&counts),
        delivered_share(&counts[3..])
    );
    assert!(
        delivered_share(&counts[3..]) >= 0.98,
        "share of value delivered to the healthy partners {}: {counts:?}",
        delivered_share(&counts[3..])
    );
    for (partner, sent) in sent.iter().take(2).enumerate() {
        for from in sent.iter().filter(|at| **at >= SLOW_MS.1) {
            let span = (*from, from + settings.fall_ms);
            let calls = sent.iter().filter(|at| (span.0..span.1).contains(*at)).count() as f64;
            let allowed = allowed_calls(&settings, RATE_PER_S, SLOW_MS.1, span);
            assert!(
                calls <= allowed + 3.0 * allowed.sqrt() + 3.0,
                "partner {partner}: {calls} calls in the span from {from} ms on, {allowed} allowed"
            );
        }
    }
    let before = RATE_PER_S * (SLOW_MS.0 - 1000.0) / 1000.0;
    let permitted_share = (before + allowed_calls(&settings, RATE_PER_S, SLOW_MS.1, (SLOW_MS.1, END_MS)))
        / (RATE_PER_S * (END_MS - 1000.0) / 1000.0);
    assert!(
        delivered_share(&counts[..3]) >= permitted_share / 2.0,
        "share of value delivered {}, permitted {permitted_share}: {counts:?}",
        delivered_share(&counts[..3])
    );
}

/// Guards against lost calls that fill the slots: one call in eight to the busiest partner is never answered,
/// while the others are delivered.
#[test]
fn unanswered_calls_to_the_busiest_partner_do_not_fill_its_slots() {
    let lossy = |_, n: usize| if n.is_multiple_of(8) { Never } else { After(40.0) };
    let partners =
        [partner(90.0, lossy), partner(20.0, |_, _| After(60.0)), partner(5.0, |_, _| After(300.0))];
    let counts = simulate(production_settings(), &partners, |n| usize::from(n % 3 == 0), 12000.0);
    println!("{:.3} {counts:?}", delivered_share(&counts));
    assert!(
        delivered_share(&counts) >= 0.9,
        "share of value delivered {}: {counts:?}",
        delivered_share(&counts)
    );
}

/// Two partners deliver, then stop answering one after the other, and recover. The third must keep its
/// service, and the two must get most of their messages delivered.
#[test]
fn partners_that_stop_answering_do_not_affect_others() {
    fn silent(from: f64) -> impl Fn(f64) -> Reply {
        move |ms| if (from..from + 2000.0).contains(&ms) { Never } else { After(50.0) }
    }
    let partners = [
        partner(40.0, |ms, _| silent(3000.0)(ms)),
        partner(40.0, |ms, _| silent(6000.0)(ms)),
        partner(30.0, |_, _| After(50.0)),
    ];
    let counts = simulate(production_settings(), &partners, |n| usize::from(n % 3 == 0), 14000.0);
    println!(
        "{:.3}, the healthy partner {:.3} {counts:?}",
        delivered_share(&counts),
        delivered_share(&counts[2..])
    );
    assert!(
        delivered_share(&counts[2..]) >= 0.98,
        "share of value delivered to the healthy partner {}: {counts:?}",
        delivered_share(&counts[2..])
    );
    assert!(
        delivered_share(&counts[..2]) >= 0.7,
        "share of value delivered to the silent partners {}: {counts:?}",
        delivered_share(&counts[..2])
    );
}
