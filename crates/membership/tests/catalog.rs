//! Compares the compact catalog with a plain map, and checks which destinations the active set evicts.
use mulleinslip_membership::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

fn random_entry(random: &mut fastrand::Rng) -> Entry {
    let n = random.u32(..300);
    let address = match random.u32(..8) {
        0 => format!("[::{:x}]:{}", n + 1, random.u16(1..)),
        _ => format!("10.0.{}.{}:{}", n / 256, n % 256, random.u16(1..3)),
    };
    Entry {
        name: "s-".to_string() + &"x".repeat(n as usize % 7) + &n.to_string(),
        address: address.parse().unwrap(),
        zone: format!("z{}", random.u32(..3)),
        kind: format!("k{}", random.u32(..2)),
        group: random.u64(..40),
        status: [Status::Active, Status::Leaving][random.usize(..2)],
        weight: f64::from(random.u32(..3)),
        since_ms: f64::from(random.u32(..2)),
    }
}

fn to_json(entry: &Entry) -> String {
    serde_json::to_string(entry).unwrap()
}

/// Guards against errors of the indices by name and by destination: random inserts, updates, moves and
/// removals give the same content as in a plain map. Unlinking a record wrongly would lose hosts of its
/// destination or keep removed ones.
#[test]
fn catalog_matches_plain_map_over_random_changes() {
    for seed in 0..30 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut catalog, mut plain) = (Catalog::default(), BTreeMap::<String, Entry>::new());
        for step in 0..3000 {
            let entry = random_entry(&mut random);
            let context = format!("seed {seed}, step {step}");
            if random.u32(..3) == 0 {
                let removed = catalog.remove(&entry.name).map(|e| to_json(&e));
                assert_eq!(removed, plain.remove(&entry.name).map(|e| to_json(&e)), "{context}");
            } else {
                let before = plain.insert(entry.name.clone(), entry.clone());
                let expected = match before {
                    None => Upsert::Inserted,
                    Some(previous) if to_json(&previous) == to_json(&entry) => Upsert::Unchanged,
                    Some(previous) => Upsert::Updated { previous_destination: previous.group },
                };
                assert_eq!(catalog.upsert(&entry), expected, "{context}");
            }
            assert_eq!(
                catalog.get(&entry.name).map(|e| to_json(&e)),
                plain.get(&entry.name).map(to_json),
                "{context}"
            );
            let hosts: Vec<String> = catalog.hosts_of(entry.group).iter().map(to_json).collect();
            let plain_hosts: Vec<String> =
                plain.values().filter(|p| p.group == entry.group).map(to_json).collect();
            assert_eq!(hosts, plain_hosts, "{context}");
            assert_eq!(catalog.has_hosts(entry.group), !plain_hosts.is_empty(), "{context}");
        }
        let destinations: BTreeSet<u64> = plain.values().map(|e| e.group).collect();
        assert_eq!((catalog.len(), catalog.destinations()), (plain.len(), destinations.len()));
        let mut all: Vec<String> = catalog.hosts().map(|e| to_json(&e)).collect();
        let mut plain_all: Vec<String> = plain.values().map(to_json).collect();
        all.sort();
        plain_all.sort();
        assert_eq!(all, plain_all);
        catalog.begin_full_list();
        let listed: Vec<&String> = plain.keys().step_by(2).collect();
        listed.iter().for_each(|name| catalog.mark_listed(name));
        let unlisted: Vec<String> = plain.keys().skip(1).step_by(2).cloned().collect();
        assert_eq!(catalog.unlisted(), unlisted, "seed {seed}");
    }
}

/// Guards against growth of the catalog: at the size that capacity is planned for it may take 30 MB, which is
/// 100 bytes a host. Names of removed hosts that are never dropped from the arena would add to it with each
/// change of the list.
#[test]
fn catalog_takes_under_100_bytes_a_host_also_after_many_replacements() {
    let entry = |n: u64| Entry {
        name: format!("s-{:08x}", n * 7919),
        address: std::net::SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 8000)),
        zone: format!("z{}", n % 15),
        kind: "m2".into(),
        group: n,
        status: Status::Active,
        weight: 1.0,
        since_ms: 0.0,
    };
    let mut catalog = Catalog::default();
    (0..20_000).for_each(|n| assert_eq!(catalog.upsert(&entry(n)), Upsert::Inserted));
    assert!(catalog.bytes() < 100 * 20_000, "the catalog takes {} bytes", catalog.bytes());
    // Replaces each host ten times.
    for n in 0..200_000 {
        assert!(catalog.remove(&entry(n).name).is_some());
        catalog.upsert(&entry(n + 20_000));
    }
    assert_eq!(catalog.len(), 20_000);
    assert!(catalog.bytes() < 120 * 20_000, "the catalog takes {} bytes", catalog.bytes());
}

/// Guards against eviction of the wrong destinations: some are used all the time, the others rarely. The set
/// exceeds its capacity by a few at most, never evicts the destination that was just used, and keeps those in
/// constant use.
#[test]
fn least_recently_used_destinations_are_evicted() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (mut active, capacity) = (ActiveSet::new(100), 100);
        let mut last: HashMap<u64, u32> = HashMap::new();
        for step in 0..5000u32 {
            // Half of the uses are of 20 destinations, the others of 380.
            let used = if random.bool() { random.u64(..20) } else { random.u64(20..400) };
            if !active.touch(used) {
                active.insert(used);
            }
            last.insert(used, step);
            // One in ten destinations may not be evicted when it is examined.
            active.evict_surplus(|destination| {
                let may_evict = random.u32(..10) != 0 && destination != used;
                if may_evict {
                    last.remove(&destination);
                }
                may_evict
            });
            assert!(
                active.contains(used),
                "seed {seed}, step {step}: a destination was evicted right after its use"
            );
            assert_eq!(active.len(), last.len());
            // A call that examines recently used destinations only leaves the surplus to the next call.
            assert!(
                active.len() <= capacity + 5,
                "seed {seed}, step {step}: {} destinations are active",
                active.len()
            );
        }
        let kept = (0..20).filter(|d| active.contains(*d)).count();
        assert!(kept >= 18, "seed {seed}: only {kept} of 20 destinations in constant use are active");
    }
}
