//! A model of the world that a dewhead proxy serves, written from the published protocol: nodes, clients, the front
//! layer, discovery and the network between them, and the troubles that befall them.
//!
//! It has no I/O and no clock. A host tells [`world::World`] what proxies do on their links (dial, say, end) and at what
//! time, and carries out the effects: bytes and ends that reach proxies, processes to start and signals to send. Times
//! are seconds from the start of the experiment, loads are standard cores, revenue is a rate: units a second for each
//! standard core of work that is served within the message target.
//!
//! The same seed gives the same trace, whatever host plays it: nothing here hangs on hash order, threads or a clock.

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
