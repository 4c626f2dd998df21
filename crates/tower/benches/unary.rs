//! Measures the overhead of the plug-in per unary gRPC call: the same calls over a plain channel and over the
//! plug-in, in alternating rounds, with 64 concurrent callers and with one.
//! `cargo bench -p mulleinslip-tower --bench unary` prints a table after about half a minute.
use bytes::Bytes;
use mulleinslip_testkit::grpc::{GrpcPartner, GrpcReply};
use mulleinslip_tower::{Builder, CallOptions, Methods};
use std::time::{Duration, Instant};

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/grpc.rs"]
mod grpc;

const CALLS: usize = 12_800;
const ROUNDS: usize = 9;

/// Makes one call and returns its duration.
async fn time_call<S>(service: S) -> Duration
where
    S: tonic::client::GrpcService<tonic::body::Body>,
    S::ResponseBody: http_body::Body<Data = Bytes> + Send + 'static,
    <S::ResponseBody as http_body::Body>::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Send,
{
    let start = Instant::now();
    grpc::unary(service, "/orders.Orders/Place", Bytes::from_static(&[7; 200]), None).await.unwrap();
    start.elapsed()
}

/// Returns the median and the 99th percentile in microseconds, and the calls per second.
fn summarize(mut durations: Vec<Duration>, wall: Duration) -> [f64; 3] {
    durations.sort();
    let percentile_us =
        |part: f64| durations[((durations.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e6;
    [percentile_us(0.5), percentile_us(0.99), durations.len() as f64 / wall.as_secs_f64()]
}

// Runs one round of calls with the given number of concurrent callers.
macro_rules! round {
    ($runtime:expr, $callers:expr, $service:expr) => {{
        let start = Instant::now();
        let durations = $runtime.block_on(async {
            let tasks: Vec<_> = (0..$callers)
                .map(|_| {
                    let service = $service.clone();
                    tokio::spawn(async move {
                        let mut durations = Vec::with_capacity(CALLS / $callers);
                        for _ in 0..CALLS / 64 * 64 / $callers {
                            durations.push(time_call(service.clone()).await);
                        }
                        durations
                    })
                })
                .collect();
            let mut durations = Vec::new();
            for task in tasks {
                durations.extend(task.await.unwrap());
            }
            durations
        });
        summarize(durations, start.elapsed())
    }};
}

fn main() {
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    let partner = GrpcPartner::new(|_, _| GrpcReply::Ok(Bytes::from_static(&[7; 100])));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let _entered = runtime.enter();
    let plain = grpc::channel(&partner.address.to_string());
    let mut settings = common::settings(256, 10_000);
    settings.tenant_rates = vec![1e9];
    settings.conn_streams = 256;
    let (client, running) = Builder::new(settings, common::names())
        .hosts(vec![grpc::host("h", 1, &partner)])
        .methods(Methods::default().with("/orders.Orders/", CallOptions::new("unsafe", 1)))
        .start(grpc::connect)
        .unwrap();
    println!("{CALLS} unary calls per round, medians of {ROUNDS} rounds");
    println!("{:<22} {:>11} {:>11} {:>10}", "", "median us", "p99 us", "calls/s");
    for callers in [1, 64] {
        let mut rows = [Vec::new(), Vec::new()];
        for round in 0..=ROUNDS {
            let both = [round!(runtime, callers, plain), round!(runtime, callers, client)];
            // The first round is a warm-up and is not counted.
            if round > 0 {
                rows.iter_mut().zip(both).for_each(|(row, figures)| row.push(figures));
            }
        }
        let median_of = |row: &Vec<[f64; 3]>, column: usize| {
            let mut values: Vec<f64> = row.iter().map(|figures| figures[column]).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        for (name, row) in ["tonic", "tonic over the plug-in"].iter().zip(&rows) {
            let (median, p99, rate) = (median_of(row, 0), median_of(row, 1), median_of(row, 2));
            println!("{name:<22} {median:>11.0} {p99:>11.0} {rate:>10.0}   {callers} callers");
        }
        println!(
            "{:<22} {:>11.0} {:>11.0}",
            "added",
            median_of(&rows[1], 0) - median_of(&rows[0], 0),
            median_of(&rows[1], 1) - median_of(&rows[0], 1)
        );
    }
    running.shutdown(Duration::from_secs(5));
}
