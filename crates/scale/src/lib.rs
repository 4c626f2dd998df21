//! Measures on one machine what a relay of a fleet costs at planned sizes. Simulated relays ("hollow" in
//! plans and reports: the real membership view, carrier tables, engine and decision module, without sockets)
//! run in simulated time; real ones (the program) run on loopback beside a stand-in for discovery. The report
//! shows how each figure grows with the number of destinations and compares the figures with budgets. Not
//! part of a deployment.

pub mod discovery;
pub mod plan;
pub mod propagation;
pub mod real;
pub mod report;
pub mod run;
pub mod simulated_hosts;
pub mod simulated_relay;
pub mod slope;
