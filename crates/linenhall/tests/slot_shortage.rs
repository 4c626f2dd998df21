//! Moments in which slots are short, as the operators' days have them: what the slots go to. Each is a stream of events
//! from a clock, with partners that take a fixed time; the figures are messages of some thousand.
mod common;
use common::*;
use linenhall::*;
use std::collections::BTreeMap;

/// What a partner does with a call.
#[derive(Clone, Copy)]
enum Reply {
    /// Delivers it after so many milliseconds.
    After(f64),
    /// Turns it away after 5 ms and tells this wait.
    Wait(f64),
    /// Never answers.
    Never,
}
use Reply::*;

/// A partner as these moments have it.
#[derive(Clone, Copy)]
struct Partner {
    /// Messages a second.
    rate: f64,
    /// Replies to a call, by the time since the start in milliseconds and by its number.
    reply: fn(f64, usize) -> Reply,
}

fn partner(rate: f64, reply: fn(f64, usize) -> Reply) -> Partner {
    Partner { rate, reply }
}

/// How a partner's messages ended, those of the first second aside.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Ends {
    in_time: usize,
    late: usize,
    refused: usize,
    /// Worth delivered and asked for.
    value: f64,
    asked: f64,
}

/// The operators' two kinds of message: worth falls by half with each aim.
fn operators() -> Settings {
    let orders = Class { aim_ms: 2000.0, deadline_ms: 10000.0, late_value: 0.3, ..class(Effect::Keyed) };
    let updates =
        Class { aim_ms: 800.0, deadline_ms: 6000.0, value: 3.0, late_value: 0.1, ..class(Effect::Safe) };
    let classes = vec![orders, updates];
    Settings { max_open: 400, retry_after: true, value_decay: ValueDecay::Halving, classes, ..settings() }
}

/// Plays for so many milliseconds, of which the first second does not count, in steps of 5.
fn play(settings: Settings, partners: &[Partner], class: impl Fn(u64) -> usize, ms: f64) -> Vec<Ends> {
    play_and_note(settings, partners, class, ms).0
}

/// The same, and when calls were sent to each partner, in milliseconds since the start.
fn play_and_note(
    settings: Settings, partners: &[Partner], class: impl Fn(u64) -> usize, ms: f64,
) -> (Vec<Ends>, Vec<Vec<f64>>) {
    let classes = settings.classes.clone();
    let mut rig = Rig::new(settings, partners.len() as u64);
    let mut flying: Vec<(f64, Event)> = Vec::new();
    let mut asked = BTreeMap::<u64, (usize, f64, usize)>::new();
    let mut tries = BTreeMap::<u64, u32>::new();
    let mut owed = vec![0.0; partners.len()];
    let mut ends = vec![Ends::default(); partners.len()];
    let mut sent = vec![Vec::new(); partners.len()];
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
                ends[dest].asked += if now > begin + 1000.0 { classes[class].value } else { 0.0 };
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
                    ends.value += c.value * 0.5f64.powf(late).max(c.late_value);
                }
            }
        }
        events.push(Event::Timer { token: 0 });
        rig.give(&events);
        for action in rig.last.clone() {
            let Action::Send { id, endpoint, timeout_ms, .. } = action else { continue };
            let dest: usize = endpoint[1..].parse().expect("endpoints are named after their destination");
            let attempt = tries.entry(id).or_default();
            sent[dest].push(now - begin);
            let timeout = timeout_ms.unwrap_or(f64::MAX);
            flying.push(match (partners[dest].reply)(now - begin, sent[dest].len()) {
                After(took) if took < timeout => (now + took, ended(id, *attempt, Outcome::Delivered, took)),
                Wait(wait) => (now + 5.0, full(id, *attempt, wait)),
                After(_) | Never => (now + timeout, ended(id, *attempt, Outcome::TimedOut, timeout)),
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
    (ends, sent)
}

/// Calls that the rule on returning destinations allows from one time to another, to one that came back at `back` and
/// takes `rate` calls a second when it is warm.
fn allowed(s: &Settings, rate: f64, back: f64, (from, to): (f64, f64)) -> f64 {
    let warm = (((from + to) / 2.0 - back) / s.warm_after_ms).clamp(0.0, 1.0);
    s.fall_multiple * (s.cold_share + (1.0 - s.cold_share) * warm) * rate * (to - from) / 1000.0
}

/// Two quick partners with much traffic, a slow one, and some whose queues wait for something else than slots.
fn rush() -> Vec<Partner> {
    let mut partners = vec![
        partner(150.0, |_, _| After(35.0)),
        partner(40.0, |_, _| After(55.0)),
        partner(8.0, |_, _| After(900.0)),
    ];
    partners.extend((0..5).map(|_| partner(3.0, |_, _| Wait(1500.0))));
    partners
}

/// The share of what was asked for that was delivered, in worth.
fn share(ends: &[Ends]) -> f64 {
    ends.iter().map(|e| e.value).sum::<f64>() / ends.iter().map(|e| e.asked).sum::<f64>()
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
    let partners = [partner(140.0, |_, _| After(50.0))];
    let s = Settings { max_open: 120, slots: 4, ..operators() };
    let ends = play(s, &partners, |n| usize::from(n % 3 == 0), 12000.0);
    println!("{:.3} {ends:?}", share(&ends));
    assert!(share(&ends) >= 0.6 && ends[0].late < 20, "{}: {ends:?}", share(&ends));
}

/// Half of the partners slow at once, without errors: time-outs only. The others keep their service. Two of the three answer
/// nothing, so that they are cold when they come back: none gets more then than the rule allows, chance aside (N + 3 x root of
/// N + 3), and they are served at least half of what the rule lets through. (It was 0.4 of all that was asked for, which
/// was reached by 63 and 42 calls in spans in which 37 and 32 are allowed.)
#[test]
fn half_of_the_partners_slow_at_once_do_not_take_the_slots_of_the_others() {
    const SLOW: (f64, f64) = (3000.0, 8000.0);
    const RATE: f64 = 12.0;
    const END: f64 = 12000.0;
    let slow = |ms, _| if (SLOW.0..SLOW.1).contains(&ms) { Never } else { After(60.0) };
    let slower = |ms, _| if (SLOW.0..SLOW.1).contains(&ms) { After(1500.0) } else { After(60.0) };
    let well = |_, _| After(60.0);
    let partners: Vec<Partner> = [slow, slow, slower]
        .map(|reply| partner(RATE, reply))
        .into_iter()
        .chain((0..3).map(|_| partner(20.0, well)))
        .collect();
    let s = operators();
    let (ends, sent) = play_and_note(s.clone(), &partners, |n| usize::from(n % 3 == 0), END);
    println!("{:.3}, the well ones {:.3} {ends:?}", share(&ends), share(&ends[3..]));
    assert!(share(&ends[3..]) >= 0.98, "{}: {ends:?}", share(&ends[3..]));
    for (partner, sent) in sent.iter().take(2).enumerate() {
        for from in sent.iter().filter(|at| **at >= SLOW.1) {
            let span = (*from, from + s.fall_ms);
            let calls = sent.iter().filter(|at| (span.0..span.1).contains(*at)).count() as f64;
            let n = allowed(&s, RATE, SLOW.1, span);
            assert!(
                calls <= n + 3.0 * n.sqrt() + 3.0,
                "{partner}: {calls} calls from {from} on, {n} allowed"
            );
        }
    }
    let before = RATE * (SLOW.0 - 1000.0) / 1000.0;
    let lets_through = (before + allowed(&s, RATE, SLOW.1, (SLOW.1, END))) / (RATE * (END - 1000.0) / 1000.0);
    assert!(share(&ends[..3]) >= lets_through / 2.0, "{} of {lets_through}: {ends:?}", share(&ends[..3]));
}

/// Connections of the busiest partner fall silent, one call in eight, while its others deliver: what was lost must not fill
/// the slots.
#[test]
fn silent_connections_to_the_busiest_partner_leave_it_its_slots() {
    let lossy = |_, n: usize| if n.is_multiple_of(8) { Never } else { After(40.0) };
    let partners =
        [partner(90.0, lossy), partner(20.0, |_, _| After(60.0)), partner(5.0, |_, _| After(300.0))];
    let ends = play(operators(), &partners, |n| usize::from(n % 3 == 0), 12000.0);
    println!("{:.3} {ends:?}", share(&ends));
    assert!(share(&ends) >= 0.9, "{}: {ends:?}", share(&ends));
}

/// Partners deliver and then fall silent, one after the other, and come back.
#[test]
fn partners_that_deliver_and_then_fall_silent_cost_no_more_than_their_own() {
    fn silent(from: f64) -> impl Fn(f64) -> Reply {
        move |ms| if (from..from + 2000.0).contains(&ms) { Never } else { After(50.0) }
    }
    let partners = [
        partner(40.0, |ms, _| silent(3000.0)(ms)),
        partner(40.0, |ms, _| silent(6000.0)(ms)),
        partner(30.0, |_, _| After(50.0)),
    ];
    let ends = play(operators(), &partners, |n| usize::from(n % 3 == 0), 14000.0);
    println!("{:.3}, the well one {:.3} {ends:?}", share(&ends), share(&ends[2..]));
    assert!(share(&ends[2..]) >= 0.98, "{}: {ends:?}", share(&ends[2..]));
    assert!(share(&ends[..2]) >= 0.7, "{}: {ends:?}", share(&ends[..2]));
}
