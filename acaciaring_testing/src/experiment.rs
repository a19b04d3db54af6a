//! Experiments with real processes: routing under load and faults, and the cost of routing.

mod baseline;
mod cost;
mod deployment;
mod measure;
mod probe;
mod scenario;
mod system;
mod table;
mod trial;

pub use self::baseline::{BASELINES, Baseline, FULL};
pub use self::cost::{CostOptions, measure_cost};
pub use self::deployment::{Deployment, DocumentSource, Service};
pub use self::measure::{
    Churn, Imbalance, Unavailability, churn, imbalance, longest_gap, unavailability,
};
pub use self::scenario::Scenario;
pub use self::system::{System, SystemOptions};
pub use self::table::{Table, render};
pub use self::trial::{Outcome, TrialOptions, run};
