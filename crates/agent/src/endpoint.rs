//! State shared by the tasks of an agent.

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
use cassiawheel_model::{
    EndpointState, LoadReport, Timestamp, WeightsBasis, settings::AgentSettings,
};
use cassiawheel_runtime::timeout;
use cassiawheel_wire::{HelloMessage, ProcessKind, WireSender, message::WeightOrder};
use smol::channel::{Receiver, Sender, bounded};

use crate::{
    keyed::ClaimWriter,
    layers::LayerState,
    metrics::AgentMetrics,
    serve::{AgentClients, chosen_entries},
    transfer::TransferState,
};

/// Interval at which tasks waiting for a permit check the gate again.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Limit on how long a starting agent waits for a preset from every entry that it dials.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all tasks of an agent.
pub(crate) struct EndpointShared {
    /// Settings of this process, as read at its start.
    pub(crate) settings: AgentSettings,
    /// Start time in Unix milliseconds; distinguishes this process from earlier ones at the
    /// same instance.
    pub(crate) incarnation: u64,
    /// Client of the engine or plain service at this instance.
    pub(crate) engine: Arc<dyn ModelEngine>,
    /// Client of the table service, which stores claims and entry addresses.
    pub(crate) table: Arc<dyn TableStore>,
    /// Batches the writes of claim rows of keyed requests.
    pub(crate) claims: ClaimWriter,
    /// Client of the origin of weights.
    pub(crate) origin: Arc<dyn WeightSource>,
    /// Highest fencing token that the engine has reported as carried out.
    pub(crate) engine_fencing: AtomicU64,
    /// Chunks held and being fetched, and the connections that transfer them.
    pub(crate) transfer: TransferState,
    /// Layers that the engine has loaded of a version that it does not hold completely.
    pub(crate) layers: LayerState,
    /// Counters and gauges exported by this process.
    pub(crate) metrics: AgentMetrics,
    gate: Mutex<GateState>,
    holder: Mutex<PresetHolder>,
    start_hold: Mutex<StartHold>,
    order: Mutex<Option<WeightOrder>>,
    /// Connection to the entry that sent the newest order.
    order_source: Mutex<Option<WireSender>>,
    basis: Mutex<WeightsBasis>,
    last_report: Mutex<Option<SentReport>>,
    load: Mutex<LoadReport>,
    entries: Mutex<Vec<EntryLink>>,
    entry_selector: Mutex<EntrySelector>,
    entries_changed: (Sender<()>, Receiver<()>),
    report_sequence: AtomicU64,
    attempt_ids: AtomicU64,
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
            start_hold: Mutex::new(StartHold::new(sources, now.deadline_after(START_TIMEOUT))),
            order: Mutex::default(),
            order_source: Mutex::default(),
            basis: Mutex::new(WeightsBasis::Adopted),
            last_report: Mutex::default(),
            load: Mutex::new(LoadReport { in_flight: 0, queued: 0, measured_at: now }),
            entries: Mutex::default(),
            entry_selector: Mutex::default(),
            entries_changed: bounded(1),
            report_sequence: AtomicU64::new(0),
            engine_fencing: AtomicU64::new(0),
            attempt_ids: AtomicU64::new(0),
            open: AtomicU32::new(0),
            released: bounded(1),
            claims: ClaimWriter::start(table.clone()),
            transfer: TransferState::new(&settings.transfer),
            layers: LayerState::new(now, settings.transfer.partial_loads),
            settings,
            engine,
            table,
            origin,
            metrics,
        }
    }

    /// Locks the gate, which admits requests to the engine.
    pub(crate) fn gate(&self) -> MutexGuard<'_, GateState> {
        self.gate.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Whether callers' requests may share the link with chunk transfers.
    pub(crate) fn may_serve_callers(&self) -> bool {
        *self.gate().state() != EndpointState::Empty
    }

    /// Locks the holder of the preset in force.
    pub(crate) fn holder(&self) -> MutexGuard<'_, PresetHolder> {
        self.holder.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Locks the record of entries that have yet to send a preset before requests may run.
    pub(crate) fn start_hold(&self) -> MutexGuard<'_, StartHold> {
        self.start_hold.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Locks the order with the highest fencing token received so far.
    pub(crate) fn order(&self) -> MutexGuard<'_, Option<WeightOrder>> {
        self.order.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Sets the connection to the entry that sent the newest order.
    pub(crate) fn set_order_source(&self, entry: WireSender) {
        *self.order_source.lock().unwrap_or_else(|poison| poison.into_inner()) = Some(entry);
    }

    /// Connection to the entry that sent the newest order; none before the first order.
    pub(crate) fn order_source(&self) -> Option<WireSender> {
        self.order_source.lock().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// Whether the newest order names the same manifest as `order`.
    pub(crate) fn is_still_ordered(&self, order: &WeightOrder) -> bool {
        self.order().as_ref().map(|newest| newest.manifest) == Some(order.manifest)
    }

    /// How the engine came to hold its weights.
    pub(crate) fn basis(&self) -> WeightsBasis {
        *self.basis.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Sets how the engine came to hold its weights.
    pub(crate) fn set_basis(&self, basis: WeightsBasis) {
        *self.basis.lock().unwrap_or_else(|poison| poison.into_inner()) = basis;
    }

    /// Records that the engine reports the weights of a load, which it does only once it is proved.
    pub(crate) fn confirm_load(&self) {
        if self.basis() == WeightsBasis::Unproved {
            self.set_basis(WeightsBasis::Loaded);
        }
    }

    /// Locks the last full report; none unless it was queued for every connected entry.
    pub(crate) fn last_report(&self) -> MutexGuard<'_, Option<SentReport>> {
        self.last_report.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Locks the load that the engine reported last.
    pub(crate) fn load(&self) -> MutexGuard<'_, LoadReport> {
        self.load.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Locks the list of connections to entries.
    pub(crate) fn entries(&self) -> MutexGuard<'_, Vec<EntryLink>> {
        self.entries.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Locks the candidates from which this agent chooses the entries to connect to.
    pub(crate) fn entry_selector(&self) -> MutexGuard<'_, EntrySelector> {
        self.entry_selector.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Signals that connections or candidates have changed.
    pub(crate) fn notify_entries_changed(&self) {
        let _ = self.entries_changed.0.try_send(());
    }

    /// Completes after the next [`Self::notify_entries_changed`].
    pub(crate) async fn entries_changed(&self) {
        let _ = self.entries_changed.1.recv().await;
    }

    /// The first message sent on a connection to another process.
    pub(crate) fn hello(&self) -> HelloMessage {
        HelloMessage {
            kind: ProcessKind::Agent,
            instance: self.settings.place.instance.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the sequence number of the next full report.
    pub(crate) fn next_report_sequence(&self) -> u64 {
        self.report_sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns a number that is unique among the attempts of this process.
    pub(crate) fn next_attempt_id(&self) -> u64 {
        self.attempt_ids.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts an attempt, or the pending write of its outcome, as open until the guard is
    /// dropped.
    pub(crate) fn open_attempt(self: &Arc<Self>) -> OpenAttempt {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenAttempt { shared: self.clone() }
    }

    /// Number of attempts that are neither answered nor recorded yet.
    ///
    /// Exceeds the gate's count: an attempt that waits for the outcome of another attempt
    /// holds no permit, but a shutdown must not cut it off either.
    pub(crate) fn open_attempts(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns a permit to the gate and wakes one waiting task.
    pub(crate) fn release_permit(&self) {
        self.gate().release();
        let _ = self.released.0.try_send(());
    }

    /// Completes when a permit may have been returned.
    ///
    /// Also completes after a short interval, since the signal wakes only one waiter.
    pub(crate) async fn permit_released(&self) {
        timeout(PERMIT_POLL_INTERVAL, self.released.1.recv()).await;
    }
}

/// A connection to an entry and the interval at which load is sent over it.
pub(crate) struct EntryLink {
    /// Address at which the entry was dialled.
    pub(crate) addr: SocketAddr,
    /// Queue of messages to the entry.
    pub(crate) sender: WireSender,
    /// Schedule of load messages, as requested by the entry.
    pub(crate) schedule: LoadSchedule,
}

/// Guard of an attempt that a graceful shutdown waits for.
pub(crate) struct OpenAttempt {
    shared: Arc<EndpointShared>,
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::Relaxed);
        let _ = self.shared.released.0.try_send(());
    }
}
