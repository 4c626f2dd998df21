//! What the plug-in adds to a unary gRPC call: the same calls over a plain channel and over the plug-in, in turns, with
//! 64 callers and with one. `cargo bench -p mulleinslip-tower --bench unary` prints a table; about half a minute.
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

async fn one<S>(service: S) -> Duration
where
    S: tonic::client::GrpcService<tonic::body::Body>,
    S::ResponseBody: http_body::Body<Data = Bytes> + Send + 'static,
    <S::ResponseBody as http_body::Body>::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Send,
{
    let start = Instant::now();
    grpc::unary(service, "/orders.Orders/Place", Bytes::from_static(&[7; 200]), None).await.unwrap();
    start.elapsed()
}

/// Median, 99th percentile in microseconds, and calls a second.
fn figures(mut all: Vec<Duration>, wall: Duration) -> [f64; 3] {
    all.sort();
    let at = |part: f64| all[((all.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e6;
    [at(0.5), at(0.99), all.len() as f64 / wall.as_secs_f64()]
}

macro_rules! round {
    ($runtime:expr, $callers:expr, $service:expr) => {{
        let start = Instant::now();
        let all = $runtime.block_on(async {
            let tasks: Vec<_> = (0..$callers)
                .map(|_| {
                    let service = $service.clone();
                    tokio::spawn(async move {
                        let mut all = Vec::with_capacity(CALLS / $callers);
                        for _ in 0..CALLS / 64 * 64 / $callers {
                            all.push(one(service.clone()).await);
                        }
                        all
                    })
                })
                .collect();
            let mut all = Vec::new();
            for task in tasks {
                all.extend(task.await.unwrap());
            }
            all
        });
        figures(all, start.elapsed())
    }};
}

fn main() {
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    let partner = GrpcPartner::new(|_, _| GrpcReply::Ok(Bytes::from_static(&[7; 100])));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let _in = runtime.enter();
    let plain = grpc::channel(&partner.address.to_string());
    let mut settings = common::settings(256, 10_000);
    settings.tenant_rates = vec![1e9];
    settings.conn_streams = 256;
    let (client, running) = Builder::new(settings, common::names())
        .hosts(vec![grpc::host("h", 1, &partner)])
        .methods(Methods::default().with("/orders.Orders/", CallOptions::new("unsafe", 1)))
        .start(grpc::connect)
        .unwrap();
    println!("{CALLS} unary calls a round, medians of {ROUNDS} rounds");
    println!("{:<22} {:>11} {:>11} {:>10}", "", "median us", "p99 us", "calls/s");
    for callers in [1, 64] {
        let mut rows = [Vec::new(), Vec::new()];
        for n in 0..=ROUNDS {
            let both = [round!(runtime, callers, plain), round!(runtime, callers, client)];
            if n > 0 {
                rows.iter_mut().zip(both).for_each(|(row, figures)| row.push(figures));
            }
        }
        let of = |row: &Vec<[f64; 3]>, what: usize| {
            let mut all: Vec<f64> = row.iter().map(|f| f[what]).collect();
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        for (name, row) in ["tonic", "tonic over the plug-in"].iter().zip(&rows) {
            let (median, p99, rate) = (of(row, 0), of(row, 1), of(row, 2));
            println!("{name:<22} {median:>11.0} {p99:>11.0} {rate:>10.0}   {callers} callers");
        }
        println!(
            "{:<22} {:>11.0} {:>11.0}",
            "added",
            of(&rows[1], 0) - of(&rows[0], 0),
            of(&rows[1], 1) - of(&rows[0], 1)
        );
    }
    running.shutdown(Duration::from_secs(5));
}
