//! The control thread: the one place where the host's decisions are made.

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

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 20;
/// Time between two pictures for callers and operators, in milliseconds.
const VIEW_MS: u64 = 100;

/// Something for the control thread.
#[derive(Debug)]
enum Input {
    Event(event::Event),
    /// A request, and where the commands about it go.
    Request(Arc<event::RequestHead>, forward::Commands),
    /// A request's task has ended.
    Closed(event::RequestId),
}

/// The way into the control thread.
#[derive(Debug, Clone)]
pub struct Inputs(mpsc::Sender<Input>);

/// The control thread's end of [`Inputs`].
#[derive(Debug)]
pub struct Inbox(mpsc::Receiver<Input>);

/// A picture of the host and of what its peers were sent.
#[derive(Debug, Clone, Default)]
pub struct Picture {
    /// The host.
    pub host: view::View,
    /// What was sent to peers.
    pub sent: peers::Sent,
}

/// The latest picture, shared with the threads that answer.
#[derive(Debug, Clone, Default)]
pub struct SharedView(Arc<Mutex<Arc<Picture>>>);

/// Opens a way into the control thread.
#[must_use]
pub fn channel() -> (Inputs, Inbox) {
    let (sender, receiver) = mpsc::channel();
    (Inputs(sender), Inbox(receiver))
}

impl Inputs {
    /// Passes an event on; once the control thread is gone it has no effect.
    pub fn event(&self, event: event::Event) {
        self.put(Input::Event(event));
    }

    /// Passes a request on.
    pub fn request(&self, head: Arc<event::RequestHead>, commands: forward::Commands) {
        self.put(Input::Request(head, commands));
    }

    /// Says that a request's task has ended.
    pub fn closed(&self, request_id: event::RequestId) {
        self.put(Input::Closed(request_id));
    }

    /// Asks for a graceful shutdown.
    pub fn stop(&self) {
        self.event(event::Event::Stop);
    }

    fn put(&self, input: Input) {
        drop(self.0.send(input));
    }
}

impl SharedView {
    /// The latest picture.
    #[must_use]
    pub fn get(&self) -> Arc<Picture> {
        Arc::clone(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn set(&self, picture: Picture) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(picture);
    }
}

/// What the control thread owns.
#[derive(Debug)]
pub struct Control {
    host: Host,
    peers: peers::Peers,
    platform: Client,
    runtime: tokio::runtime::Handle,
    view: SharedView,
    inputs: Inputs,
    commands: collections::BTreeMap<event::RequestId, forward::Commands>,
    started: time::Instant,
    is_stopped: bool,
}

impl Control {
    /// A host that has just started.
    #[must_use]
    pub fn new(
        config: host::Config,
        peers: peers::Peers,
        platform: Client,
        runtime: tokio::runtime::Handle,
        view: SharedView,
        inputs: Inputs,
    ) -> Self {
        let started = time::Instant::now();
        let host = Host::new(config, now(started));
        let commands = collections::BTreeMap::new();
        Self { host, peers, platform, runtime, view, inputs, commands, started, is_stopped: false }
    }

    /// Runs until the host has stopped.
    pub fn run(mut self, inbox: &Inbox) {
        let tick = time::Duration::from_millis(TICK_MS);
        let mut next_tick = time::Instant::now();
        let mut next_view = next_tick;
        while !self.is_stopped {
            let wait = next_tick.saturating_duration_since(time::Instant::now());
            match inbox.0.recv_timeout(wait) {
                Ok(input) => self.take(input),
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
            let at = time::Instant::now();
            if at >= next_tick {
                next_tick = at + tick;
                self.handle(event::Event::Tick);
            }
            if at >= next_view {
                next_view = at + time::Duration::from_millis(VIEW_MS);
                self.publish();
            }
        }
        self.publish();
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle(event),
            Input::Request(head, commands) => {
                self.commands.insert(head.request_id, commands);
                self.handle(event::Event::Request(head));
            }
            Input::Closed(request_id) => drop(self.commands.remove(&request_id)),
        }
    }

    fn handle(&mut self, event: event::Event) {
        let actions = self.host.handle(event, now(self.started));
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: action::Action) {
        match action {
            action::Action::Dispatch(dispatch) => {
                self.command(dispatch.request_id, forward::Command::Dispatch(dispatch));
            }
            action::Action::RateAnswer { request_id, attempt } => {
                self.command(request_id, forward::Command::Rate { attempt });
            }
            action::Action::Finish { request_id, .. } => {
                self.command(request_id, forward::Command::Finish);
            }
            action::Action::Discard { request_id, .. } => {
                self.command(request_id, forward::Command::Discard);
            }
            action::Action::Replay { request_id, answer } => {
                self.command(request_id, forward::Command::Replay(answer));
            }
            action::Action::Refuse { request_id, refusal } => {
                self.command(request_id, forward::Command::Refuse(refusal));
            }
            action::Action::Fail { request_id, failure } => {
                self.command(request_id, forward::Command::Fail(failure));
            }
            action::Action::Cancel { request_id, attempt } => {
                self.command(request_id, forward::Command::Cancel { attempt });
            }
            action::Action::SendPeer { to, message } => self.peers.send(to, message),
            action::Action::Reconnect { address } => self.peers.reconnect(address),
            action::Action::CallPlatform { id, call } => self.call_platform(id, call),
            action::Action::Log(line) => write_line(&line),
            action::Action::Stopped => self.is_stopped = true,
        }
    }

    fn command(&self, request_id: event::RequestId, command: forward::Command) {
        // A task that has ended needs no more commands.
        if let Some(commands) = self.commands.get(&request_id) {
            drop(commands.send(command));
        }
    }

    fn call_platform(&self, call: action::CallId, request: platform::Call) {
        let client = self.platform.clone();
        let inputs = self.inputs.clone();
        self.runtime.spawn(async move {
            let reply = client.call(request).await;
            inputs.event(event::Event::PlatformReply { call, reply });
        });
    }

    fn publish(&self) {
        self.view.set(Picture { host: self.host.view(), sent: self.peers.sent() });
    }
}

/// The time by both clocks.
fn now(started: time::Instant) -> host::Now {
    let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    host::Now {
        mono_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
        wall_s: wall.as_secs(),
    }
}

fn write_line(line: &action::LogLine) {
    let level = match line.level {
        action::Level::Info => log::Level::Info,
        action::Level::Warn => log::Level::Warn,
        action::Level::Error => log::Level::Error,
    };
    log::log!(target: "toucanwall", level, "{}", line.text);
}
