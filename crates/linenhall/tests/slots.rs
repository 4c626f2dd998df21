//! Moments in which slots are short, as the operators' days have them: what the slots go to. Each is a stream of events
//! from a clock, with partners that take a fixed time; the figures are messages of some thousand.
mod common;
use common::*;
use linenhall::*;
use std::collections::BTreeMap;

/// A partner as these moments have it.
#[derive(Clone, Copy)]
struct Partner {
    /// Time of a call.
    took: f64,
    /// Messages a second.
    rate: f64,
    /// It turns every call away and tells this wait; 0: it takes them.
    wait: f64,
}

/// How a partner's messages ended, those of the first second aside.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Ends {
    in_time: usize,
    late: usize,
    refused: usize,
    /// Worth delivered and asked for.
    worth: f64,
    asked: f64,
}

/// The operators' two kinds of message: worth falls by half with each aim.
fn operators() -> Settings {
    let orders = Class { aim_ms: 2000.0, deadline_ms: 10000.0, late_worth: 0.3, ..class(Effect::Keyed) };
    let updates =
        Class { aim_ms: 800.0, deadline_ms: 6000.0, worth: 3.0, late_worth: 0.1, ..class(Effect::Safe) };
    let classes = vec![orders, updates];
    Settings { max_open: 400, retry_after: true, fade: Fade::Halves, classes, ..settings() }
}

/// Plays for so many milliseconds, of which the first second does not count, in steps of 5.
fn play(settings: Settings, partners: &[Partner], class: impl Fn(u64) -> usize, ms: f64) -> Vec<Ends> {
    let classes = settings.classes.clone();
    let mut rig = Rig::new(settings, partners.len() as u64);
    let mut flying: Vec<(f64, Event)> = Vec::new();
    let mut asked = BTreeMap::<u64, (usize, f64, usize)>::new();
    let mut tries = BTreeMap::<u64, u32>::new();
    let mut owed = vec![0.0; partners.len()];
    let mut ends = vec![Ends::default(); partners.len()];
    let begin = rig.now;
    while rig.now < begin + ms {
        rig.now += 5.0;
        let now = rig.now;
        let (over, out): (Vec<_>, Vec<_>) = flying.into_iter().partition(|f| f.0 <= now);
        flying = out;
        let mut events: Vec<Event> = over.into_iter().map(|f| f.1).collect();
        for (dest, p) in partners.iter().enumerate() {
            owed[dest] += p.rate * 0.005;
            while owed[dest] >= 1.0 {
                owed[dest] -= 1.0;
                let class = class(asked.len() as u64);
                let (id, mut event) = rig.request(class, dest as u64);
                if let Event::Request { due, .. } = &mut event {
                    *due = now + classes[class].deadline_ms;
                }
                asked.insert(id, (dest, now, class));
                ends[dest].asked += if now > begin + 1000.0 { classes[class].worth } else { 0.0 };
                events.push(event);
            }
        }
        for event in &events {
            if let Event::Ended { id, outcome: Outcome::Delivered, .. } = event {
                let (dest, born, class) = asked[id];
                let (ends, c) = (&mut ends[dest], &classes[class]);
                if born > begin + 1000.0 {
                    let late = (now - born - c.aim_ms).max(0.0) / c.aim_ms;
                    *if late > 0.0 { &mut ends.late } else { &mut ends.in_time } += 1;
                    ends.worth += c.worth * 0.5f64.powf(late).max(c.late_worth);
                }
            }
        }
        events.push(Event::Timer { token: 0 });
        for (id, endpoint) in rig.give(&events) {
            let dest: usize = endpoint[1..].parse().expect("endpoints are named after their destination");
            let (attempt, p) = (tries.entry(id).or_default(), partners[dest]);
            flying.push(match p.wait {
                0.0 => (now + p.took, ended(id, *attempt, Outcome::Delivered, p.took)),
                wait => (now + p.took, full(id, *attempt, wait)),
            });
            *attempt += 1;
        }
        for action in &rig.last {
            match action {
                Action::Refuse { id, .. } if asked[id].1 > begin + 1000.0 => ends[asked[id].0].refused += 1,
                Action::Cancel { id, attempt } => {
                    let of = |e: &Event| matches!(e, Event::Ended { id: x, attempt: n, .. } if (x, n) == (id, attempt));
                    let off = flying.iter_mut().find(|f| of(&f.1));
                    off.into_iter().for_each(|f| *f = (now, ended(*id, *attempt, Outcome::Cancelled, 0.0)));
                }
                _ => {}
            }
        }
        rig.relay.audit().expect("the module stands up to an audit");
    }
    ends
}

/// Two quick partners with much traffic, a slow one, and some whose queues wait for something else than slots.
fn rush() -> Vec<Partner> {
    let mut partners = vec![
        Partner { took: 35.0, rate: 150.0, wait: 0.0 },
        Partner { took: 55.0, rate: 40.0, wait: 0.0 },
        Partner { took: 900.0, rate: 8.0, wait: 0.0 },
    ];
    partners.extend((0..5).map(|_| Partner { took: 5.0, rate: 3.0, wait: 1500.0 }));
    partners
}

/// The share of what was asked for that was delivered, in worth.
fn share(ends: &[Ends]) -> f64 {
    ends.iter().map(|e| e.worth).sum::<f64>() / ends.iter().map(|e| e.asked).sum::<f64>()
}

/// Turns that count sends, or nearly so, give a partner that takes 900 ms as many slots as it asks for, while a quick
/// one's queue ages out; and credits that fall to their cap together tell nothing apart.
#[test]
fn while_slots_are_short_they_go_where_a_delivery_takes_least_of_them() {
    let ends = play(operators(), &rush(), |n| usize::from(n % 3 == 0), 12000.0);
    println!("{:.3} {ends:?}", share(&ends));
    assert!(share(&ends) >= 0.72, "{}: {ends:?}", share(&ends));
    assert!(ends[2].in_time + ends[2].late > 2, "the slow one is not shut out: {ends:?}");
}

/// With the hold full, what has lost its worth goes before what has just come.
#[test]
fn a_full_hold_lets_go_what_is_late_before_what_is_fresh() {
    let partners = [Partner { took: 50.0, rate: 140.0, wait: 0.0 }];
    let s = Settings { max_open: 120, slots: 4, ..operators() };
    let ends = play(s, &partners, |n| usize::from(n % 3 == 0), 12000.0);
    println!("{:.3} {ends:?}", share(&ends));
    assert!(share(&ends) >= 0.6 && ends[0].late < 20, "{}: {ends:?}", share(&ends));
}
