//! Settings of deployments, as the simulator's first message would give them.

/// Like `deploy/sites/tarnfjell-medisin.toml` with its three relays: lists are asked for, no probes, no reports,
/// an unsafe class, one in order and one safe to repeat.
pub fn tarnfjell(relays: usize, order_pause_ms: u64) -> String {
    format!(
        r#"{{"Balancers":{relays},"Zone":0,"Zones":["z"],"MachineTypes":["k"],"TickMs":5.0,"Discovery":"ask",
"Domain":{{"Slots":16,"BatchByKind":[1],"OwnLimits":[false],"Fades":"by_half"}},
"Limits":{{"Cancel":true,"ConnIdleMs":8000.0,"ConnectTimeoutMs":1200.0,"MaxAttempts":5,"MaxOpen":120,
"MaxRetryAfterMs":2000.0,"MaxStreams":1,"Probing":false,"RetryAfter":true,"SecondCopies":false}},
"LoadReport":{{"Columns":[],"Source":"none"}},
"Orgs":[{{"Name":"helse-nord","QuotaRps":60.0,"Fraction":1.0}}],
"Profiles":[
{{"Name":"resept","Effect":"fragile","Group":"all","AimMs":1200.0,"DeadlineMs":9000.0,"DedupWindowMs":0.0,"Points":2.0,"LateValue":0.2}},
{{"Name":"journal-linje","Effect":"dedup","Group":"all","AimMs":2500.0,"DeadlineMs":14000.0,"DedupWindowMs":5000.0,"Points":1.0,"LateValue":0.3,"SerialByKey":true}},
{{"Name":"lagertall","Effect":"retryable","Group":"all","AimMs":600.0,"DeadlineMs":3500.0,"DedupWindowMs":0.0,"Points":1.0,"LateValue":0.1}}],
"Safety":{{"AnswerSlackMs":20.0,"ColdShare":0.25,"WarmAfterMs":12000.0,"DrainGraceMs":400.0,"FallMultiple":2.5,"FallMs":2500.0,"OrderPauseMs":{order_pause_ms}.0}}}}"#
    )
}

/// Like `mazowsze-wysylka` with two relays: pushed lists, probes, reports in answers, a keyed class and one safe to
/// repeat.
pub fn mazowsze() -> String {
    r#"{"Balancers":2,"Zone":0,"Zones":["z"],"MachineTypes":["k"],"TickMs":5.0,"Discovery":"push",
"Domain":{"Slots":18,"BatchByKind":[1],"OwnLimits":[false],"Fades":"by_half"},
"Limits":{"Cancel":true,"ConnIdleMs":5000.0,"ConnectTimeoutMs":1500.0,"MaxAttempts":12,"MaxOpen":140,
"MaxRetryAfterMs":2000.0,"MaxStreams":1,"Probing":true,"RetryAfter":true,"SecondCopies":false},
"LoadReport":{"Columns":["x0","x1"],"Source":"answers"},"OverShareWorth":0.05,
"Costs":{"Handshake":0.02,"CrossZone":0.0},
"Orgs":[{"Name":"floty-miejskie","QuotaRps":40.0,"Fraction":1.0}],
"Profiles":[
{"Name":"zamowienia","Effect":"dedup","Group":"all","AimMs":2000.0,"DeadlineMs":24000.0,"DedupWindowMs":6000.0,"Points":1.0,"LateValue":0.3},
{"Name":"stany","Effect":"retryable","Group":"all","AimMs":800.0,"DeadlineMs":6000.0,"DedupWindowMs":5000.0,"Points":3.0,"LateValue":0.1}],
"Safety":{"AnswerSlackMs":20.0,"ColdShare":0.22,"WarmAfterMs":14000.0,"DrainGraceMs":250.0,"FallMultiple":2.0,"FallMs":3000.0}}"#
        .to_string()
}
