//! The control thread, which runs the host's state machine.
//!
//! It is the only thread that passes events to the [`Host`] and executes the actions that the
//! host returns.

use std::collections;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::time;

use toucanwall_coordination::platform;
use toucanwall_core::Host;
use toucanwall_core::action;
use toucanwall_core::event;
use toucanwall_core::host;
use toucanwall_core::view;
use toucanwall_platform::Client;

use crate::forward;
use crate::peers;

/// Interval between ticks, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;
/// Interval at which a snapshot is published for callers and operators, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 100;

/// Input of the control thread.
#[derive(Debug)]
enum Input {
    /// An event for the host.
    Event(event::Event),
    /// A new request, and the sender for commands to its task.
    Request(Arc<event::RequestHead>, forward::CommandSender),
    /// The task of a request has ended.
    TaskEnded(event::RequestId),
}

/// Sends inputs to the control thread.
#[derive(Debug, Clone)]
pub struct InputSender(mpsc::Sender<Input>);

/// Receives the inputs that were sent with [`InputSender`].
#[derive(Debug)]
pub struct InputReceiver(mpsc::Receiver<Input>);

/// The visible state of the host at one moment.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// State of the host.
    pub host: view::View,
    /// Counters of what was sent to peers.
    pub sent: peers::SentCounters,
}

/// The latest snapshot, shared with the threads that serve callers and operators.
#[derive(Debug, Clone, Default)]
pub struct SharedSnapshot(Arc<Mutex<Arc<Snapshot>>>);

/// Creates a channel to the control thread.
#[must_use]
pub fn channel() -> (InputSender, InputReceiver) {
    let (sender, receiver) = mpsc::channel();
    (InputSender(sender), InputReceiver(receiver))
}

impl InputSender {
    /// Sends an event; has no effect once the control thread has ended.
    pub fn send_event(&self, event: event::Event) {
        self.send(Input::Event(event));
    }

    /// Sends a new request, with the sender for commands to its task.
    pub fn send_request(
        &self,
        head: Arc<event::RequestHead>,
        command_sender: forward::CommandSender,
    ) {
        self.send(Input::Request(head, command_sender));
    }

    /// Reports that the task of a request has ended.
    pub fn send_task_ended(&self, request_id: event::RequestId) {
        self.send(Input::TaskEnded(request_id));
    }

    /// Requests a graceful shutdown.
    pub fn send_stop(&self) {
        self.send_event(event::Event::Stop);
    }

    fn send(&self, input: Input) {
        drop(self.0.send(input));
    }
}

impl SharedSnapshot {
    /// Returns the latest snapshot.
    #[must_use]
    pub fn get(&self) -> Arc<Snapshot> {
        Arc::clone(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn set(&self, snapshot: Snapshot) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(snapshot);
    }
}

/// The event loop of the control thread.
#[derive(Debug)]
pub struct ControlLoop {
    host: Host,
    peers: peers::Peers,
    platform: Client,
    runtime: tokio::runtime::Handle,
    shared_snapshot: SharedSnapshot,
    input_sender: InputSender,
    command_senders: collections::BTreeMap<event::RequestId, forward::CommandSender>,
    started: time::Instant,
    is_stopped: bool,
}

impl ControlLoop {
    /// Creates the loop, with a host that has just started.
    #[must_use]
    pub fn new(
        config: host::Config,
        peers: peers::Peers,
        platform: Client,
        runtime: tokio::runtime::Handle,
        shared_snapshot: SharedSnapshot,
        input_sender: InputSender,
    ) -> Self {
        let started = time::Instant::now();
        let host = Host::new(config, now(started));
        let command_senders = collections::BTreeMap::new();
        Self {
            host,
            peers,
            platform,
            runtime,
            shared_snapshot,
            input_sender,
            command_senders,
            started,
            is_stopped: false,
        }
    }

    /// Runs until the host has stopped.
    pub fn run(mut self, input_receiver: &InputReceiver) {
        let tick_interval = time::Duration::from_millis(TICK_INTERVAL_MS);
        let mut next_tick = time::Instant::now();
        let mut next_publish = next_tick;
        while !self.is_stopped {
            let timeout = next_tick.saturating_duration_since(time::Instant::now());
            match input_receiver.0.recv_timeout(timeout) {
                Ok(input) => self.handle_input(input),
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
            let current = time::Instant::now();
            if current >= next_tick {
                next_tick = current + tick_interval;
                self.handle_event(event::Event::Tick);
            }
            if current >= next_publish {
                next_publish = current + time::Duration::from_millis(PUBLISH_INTERVAL_MS);
                self.publish();
            }
        }
        self.publish();
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Request(head, command_sender) => {
                self.command_senders.insert(head.request_id, command_sender);
                self.handle_event(event::Event::Request(head));
            }
            Input::TaskEnded(request_id) => drop(self.command_senders.remove(&request_id)),
        }
    }

    fn handle_event(&mut self, event: event::Event) {
        let actions = self.host.handle(event, now(self.started));
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: action::Action) {
        match action {
            action::Action::Dispatch(dispatch) => {
                self.send_command(dispatch.request_id, forward::Command::Dispatch(dispatch));
            }
            action::Action::RateAnswer { request_id, attempt } => {
                self.send_command(request_id, forward::Command::Rate { attempt });
            }
            action::Action::Finish { request_id, .. } => {
                self.send_command(request_id, forward::Command::Finish);
            }
            action::Action::Discard { request_id, .. } => {
                self.send_command(request_id, forward::Command::Discard);
            }
            action::Action::Replay { request_id, answer } => {
                self.send_command(request_id, forward::Command::Replay(answer));
            }
            action::Action::Refuse { request_id, refusal } => {
                self.send_command(request_id, forward::Command::Refuse(refusal));
            }
            action::Action::Fail { request_id, failure } => {
                self.send_command(request_id, forward::Command::Fail(failure));
            }
            action::Action::Cancel { request_id, attempt } => {
                self.send_command(request_id, forward::Command::Cancel { attempt });
            }
            action::Action::SendPeer { to, message } => self.peers.send(to, message),
            action::Action::Reconnect { address } => self.peers.reconnect(address),
            action::Action::CallPlatform { id, call } => self.call_platform(id, call),
            action::Action::Log(line) => write_log_line(&line),
            action::Action::Stopped => self.is_stopped = true,
        }
    }

    fn send_command(&self, request_id: event::RequestId, command: forward::Command) {
        // The task may have ended in the meantime and needs no more commands then.
        if let Some(command_sender) = self.command_senders.get(&request_id) {
            drop(command_sender.send(command));
        }
    }

    fn call_platform(&self, call: action::CallId, request: platform::Call) {
        let client = self.platform.clone();
        let input_sender = self.input_sender.clone();
        self.runtime.spawn(async move {
            let reply = client.call(request).await;
            input_sender.send_event(event::Event::PlatformReply { call, reply });
        });
    }

    fn publish(&self) {
        self.shared_snapshot.set(Snapshot { host: self.host.view(), sent: self.peers.sent() });
    }
}

/// Returns the current time of the monotonic clock and of the wall clock.
fn now(started: time::Instant) -> host::Now {
    let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    host::Now {
        mono_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
        wall_s: wall.as_secs(),
    }
}

fn write_log_line(line: &action::LogLine) {
    let level = match line.level {
        action::Level::Info => log::Level::Info,
        action::Level::Warn => log::Level::Warn,
        action::Level::Error => log::Level::Error,
    };
    log::log!(target: "toucanwall", level, "{}", line.text);
}
