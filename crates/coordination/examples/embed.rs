//! Embeds membership and shard ownership in a program, with two hosts in one process.
//!
//! A real program reads the clock, sends the messages of the effects over the network and passes
//! received messages to the state machines.

use std::collections;
use std::net;
use std::sync::Arc;

use toucanwall_coordination::identity;
use toucanwall_coordination::membership;
use toucanwall_coordination::rendezvous;

fn info(id: u64, port: u16) -> identity::HostInfo {
    let address = net::SocketAddr::from(([127, 0, 0, 1], port));
    identity::HostInfo {
        // Drawn at random at each start in a real program.
        id: identity::HostId(id),
        started_ms: id,
        peer_address: address,
        caller_address: address,
        data_centre: Arc::from("here"),
        region: Arc::from("here"),
    }
}

fn main() {
    let (first, second) = (info(1, 7_001), info(2, 7_002));
    let seeds = collections::BTreeSet::from([first.peer_address]);
    let mut hosts = [
        membership::Membership::new(first.clone(), seeds.clone(), 11, 0),
        membership::Membership::new(second.clone(), seeds, 12, 0),
    ];
    let addresses = [first.peer_address, second.peer_address];
    for now_ms in (0..5_000).step_by(50) {
        for sender in 0..hosts.len() {
            let mut effects = hosts[sender].tick(now_ms);
            while let Some(effect) = effects.pop() {
                match effect {
                    membership::Effect::Send { to, message } => {
                        let receiver = usize::from(to == addresses[1]);
                        let replies = hosts[receiver].receive(addresses[sender], message, now_ms);
                        deliver(&mut hosts, receiver, replies, &addresses, now_ms);
                    }
                    membership::Effect::Changed { host, status } => {
                        println!("{now_ms} ms: host {host} is {status:?}");
                    }
                    _ => {}
                }
            }
        }
    }
    for shard in 0..4 {
        let owners: Vec<_> =
            hosts.iter().map(|host| rendezvous::first(shard, host.eligible_ids())).collect();
        println!("shard {shard}: both hosts name {:?}: {}", owners[0], owners[0] == owners[1]);
    }
}

/// Delivers the replies to a message; effects that these cause in turn are ignored here.
fn deliver(
    hosts: &mut [membership::Membership],
    from: usize,
    replies: Vec<membership::Effect>,
    addresses: &[net::SocketAddr],
    now_ms: u64,
) {
    for reply in replies {
        match reply {
            membership::Effect::Send { to, message } => {
                let receiver = usize::from(to == addresses[1]);
                hosts[receiver].receive(addresses[from], message, now_ms);
            }
            membership::Effect::Changed { host, status } => {
                println!("{now_ms} ms: host {host} is {status:?}");
            }
            _ => {}
        }
    }
}
