//! State that the parts of an agent share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiawheel_decide::{
    EntrySelector, GateState, LoadSchedule, PresetHolder, SentReport, StartHold,
};
use cassiawheel_edge::{ModelEngine, TableStore, WeightSource};
use cassiawheel_model::{EndpointState, LoadReport, Timestamp, settings::AgentSettings};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::{HelloMessage, ProcessKind, WireSender, message::WeightOrder};
use smol::channel::{Receiver, Sender, bounded};

use crate::{
    keyed::ClaimWriter,
    metrics::AgentMetrics,
    serve::{AgentClients, chosen_entries},
    transfer::TransferState,
};

/// Longest wait before a waiter looks at the gate again.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Longest time for which an agent that starts waits for every entry that it dials.
const START_TIME: Duration = Duration::from_secs(2);

/// Everything that the parts of an agent share.
pub(crate) struct EndpointShared {
    /// The settings.
    pub(crate) settings: AgentSettings,
    /// Distinguishes this process from earlier ones at the instance.
    pub(crate) incarnation: u64,
    /// The engine or plain service.
    pub(crate) engine: Arc<dyn ModelEngine>,
    /// The table service.
    pub(crate) table: Arc<dyn TableStore>,
    /// Writes the rows of keyed requests.
    pub(crate) claims: ClaimWriter,
    /// The origin of weights.
    pub(crate) origin: Arc<dyn WeightSource>,
    /// Highest fencing token that the engine has carried out, as it told last.
    pub(crate) engine_fencing: AtomicU64,
    /// Weights held and being fetched.
    pub(crate) transfer: TransferState,
    /// Metrics.
    pub(crate) metrics: AgentMetrics,
    gate: Mutex<GateState>,
    holder: Mutex<PresetHolder>,
    start_hold: Mutex<StartHold>,
    order: Mutex<Option<WeightOrder>>,
    /// The connection over which the newest order came.
    order_giver: Mutex<Option<WireSender>>,
    last_report: Mutex<Option<SentReport>>,
    load: Mutex<LoadReport>,
    entries: Mutex<Vec<EntryLink>>,
    known_entries: Mutex<EntrySelector>,
    entries_changed: (Sender<()>, Receiver<()>),
    reports: AtomicU64,
    attempts: AtomicU64,
    open: AtomicU32,
    released: (Sender<()>, Receiver<()>),
}

impl EndpointShared {
    /// The state of a process that has just started.
    pub(crate) fn new(
        settings: AgentSettings,
        clients: AgentClients,
        metrics: AgentMetrics,
    ) -> Self {
        let AgentClients { engine, table, origin } = clients;
        let now = Timestamp::now();
        let sources = chosen_entries(&settings);
        Self {
            incarnation: now.0,
            gate: Mutex::new(GateState::new(settings.engine.max_in_flight)),
            holder: Mutex::default(),
            start_hold: Mutex::new(StartHold::new(sources, now.deadline_after(START_TIME))),
            order: Mutex::default(),
            order_giver: Mutex::default(),
            last_report: Mutex::default(),
            load: Mutex::new(LoadReport { in_flight: 0, queued: 0, measured_at: now }),
            entries: Mutex::default(),
            known_entries: Mutex::default(),
            entries_changed: bounded(1),
            reports: AtomicU64::new(0),
            engine_fencing: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
            open: AtomicU32::new(0),
            released: bounded(1),
            claims: ClaimWriter::start(table.clone()),
            transfer: TransferState::new(&settings.transfer),
            settings,
            engine,
            table,
            origin,
            metrics,
        }
    }

    /// The gate.
    pub(crate) fn gate(&self) -> MutexGuard<'_, GateState> {
        self.gate.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Whether callers' requests may share the link with the weights.
    pub(crate) fn serves_callers(&self) -> bool {
        *self.gate().state() != EndpointState::Empty
    }

    /// The preset in force.
    pub(crate) fn holder(&self) -> MutexGuard<'_, PresetHolder> {
        self.holder.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// What this agent waits for before it runs requests.
    pub(crate) fn start_hold(&self) -> MutexGuard<'_, StartHold> {
        self.start_hold.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// The newest order.
    pub(crate) fn order(&self) -> MutexGuard<'_, Option<WeightOrder>> {
        self.order.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Notes over which connection the newest order came.
    pub(crate) fn note_order_giver(&self, entry: WireSender) {
        *self.order_giver.lock().unwrap_or_else(|poison| poison.into_inner()) = Some(entry);
    }

    /// The connection over which the newest order came.
    pub(crate) fn order_giver(&self) -> Option<WireSender> {
        self.order_giver.lock().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// Whether the newest order names the weights of `order`.
    pub(crate) fn still_wants(&self, order: &WeightOrder) -> bool {
        self.order().as_ref().map(|newest| newest.manifest) == Some(order.manifest)
    }

    /// The last whole report, if every connected entry has it.
    pub(crate) fn last_report(&self) -> MutexGuard<'_, Option<SentReport>> {
        self.last_report.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// The engine's last load report.
    pub(crate) fn load(&self) -> MutexGuard<'_, LoadReport> {
        self.load.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Connections to entries.
    pub(crate) fn entries(&self) -> MutexGuard<'_, Vec<EntryLink>> {
        self.entries.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// The entries that this agent may connect to.
    pub(crate) fn entry_choice(&self) -> MutexGuard<'_, EntrySelector> {
        self.known_entries.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Has the connections to entries looked at.
    pub(crate) fn note_entries_changed(&self) {
        let _ = self.entries_changed.0.try_send(());
    }

    /// Completes after the next [`Self::note_entries_changed`].
    pub(crate) async fn entries_changed(&self) {
        let _ = self.entries_changed.1.recv().await;
    }

    /// What opens a conversation with another process.
    pub(crate) fn hello(&self) -> HelloMessage {
        HelloMessage {
            kind: ProcessKind::Agent,
            instance: self.settings.place.instance.clone(),
            incarnation: self.incarnation,
        }
    }

    /// A number that rises with each whole report.
    pub(crate) fn next_report(&self) -> u64 {
        self.reports.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// A number that no other attempt of this process has.
    pub(crate) fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts an attempt, or the record of one, as open until the guard is dropped.
    pub(crate) fn open_attempt(self: &Arc<Self>) -> OpenAttempt {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenAttempt { shared: self.clone() }
    }

    /// Attempts that are neither answered nor recorded yet.
    ///
    /// More than the gate counts: one that waits for the outcome of another
    /// attempt has no permit, but a shutdown must not cut it off either.
    pub(crate) fn open_attempts(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Gives a permit of the gate back.
    pub(crate) fn leave_gate(&self) {
        self.gate().release();
        let _ = self.released.0.try_send(());
    }

    /// Completes when a permit may have been given back.
    ///
    /// Looks again after a short while, since the signal wakes one waiter only.
    pub(crate) async fn permit_released(&self) {
        timeout(LOOK_AGAIN, self.released.1.recv()).await;
    }
}

/// A connection to an entry, and when it wants to hear the load.
pub(crate) struct EntryLink {
    /// Where it was dialled.
    pub(crate) addr: SocketAddr,
    /// Messages to it.
    pub(crate) sender: WireSender,
    /// When it wants to hear the load.
    pub(crate) pace: LoadSchedule,
}

/// An attempt that a graceful shutdown waits for.
pub(crate) struct OpenAttempt {
    shared: Arc<EndpointShared>,
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::Relaxed);
        let _ = self.shared.released.0.try_send(());
    }
}
