//! Stand-ins for the platform and the endpoints, and the tools that run tests against them.
//!
//! Each stand-in serves the HTTP interface of the component that it replaces over
//! loopback TCP, and has switches that inject faults. Nothing here is part of a release.

pub mod bound;
pub mod burst;
pub mod caller;
pub mod deployment;
pub mod fault;
pub mod platform_site;
pub mod processes;
pub mod samples;
pub mod site_soak;
pub mod stand_in;
pub mod traffic;
pub mod weights;

pub use caller::{CallVerdict, TestCaller};
pub use deployment::{Deployment, DeploymentPlan};
pub use fault::FaultSwitches;
pub use platform_site::{PlatformSite, SiteCall};
pub use processes::ChildProcess;
