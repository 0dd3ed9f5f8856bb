//! A model of the world that a dewhead proxy serves, written from the published protocol: nodes, clients, the
//! front layer, discovery, the network between them, and troubles.
//!
//! The model does no I/O and reads no clock. A host reports to [`world::World`] what proxies do on their
//! links (connect, write, end) and when, and carries out the effects: bytes and ends that reach proxies,
//! processes to start and signals to send. Times are seconds from the start of the experiment, loads are
//! standard cores, and revenue is a rate: units per second for each standard core of work that is served
//! within the message target.
//!
//! The same seed gives the same trace on every host: nothing depends on hash order, threads or a clock.

pub mod audit;
pub mod clients;
pub mod discovery;
pub mod experiment;
pub mod front;
pub mod network;
pub(crate) mod node_connections;
pub mod nodes;
pub mod queue;
pub mod random;
pub mod service;
pub mod settings;
pub mod troubles;
pub mod world;
