use crate::Agent;
use crate::heartbeat::Peer;
use crate::setup::HEARTBEAT_TIMEOUT;
use clock::Millis;
use peer::message::{Ask, Body};

/// Time between two attempts to get a first configuration.
const RETRY: Millis = Millis(500);

impl Agent {
    /// Waits until this node has a configuration, from the platform or from its peers.
    ///
    /// The greatest version among the table's and that of the peers that answer is installed
    /// first, so a node that starts among stale peers doesn't serve an old version while the
    /// table, or a peer that knows better, can be reached.
    pub(crate) async fn bootstrap(&self) {
        loop {
            self.poll().await;
            let peers = self.meet_peers().await;
            self.fetch_from_greatest(&peers).await;
            if self.stamp().version > 0 {
                return;
            }
            self.settings.clock.sleep(RETRY).await;
        }
    }

    /// Learns the roster from the peers that the node's file names.
    async fn meet_peers(&self) -> Vec<Peer> {
        let mut reached = Vec::new();
        for address in self.settings.node.peers.clone() {
            let peer = Peer::unnamed(address);
            let answer = self.ask(&peer, Ask::Roster, HEARTBEAT_TIMEOUT).await;
            let Ok(Body::Roster(roster)) = answer else { continue };
            let mut state = self.state();
            for record in roster.records {
                state.roster.adopt(record);
            }
            state.roster.adopt_upstreams(roster.upstreams);
            reached.push(peer);
        }
        reached
    }

    async fn fetch_from_greatest(&self, peers: &[Peer]) {
        let mut ahead: Vec<_> = {
            let state = self.state();
            state.ahead.iter().map(|(address, ahead)| (*address, ahead.clone())).collect()
        };
        ahead.sort_by_key(|(_, ahead)| std::cmp::Reverse(ahead.stamp));
        for (address, ahead) in ahead.into_iter().take(peers.len()) {
            if let Err(error) = self.fetch_from(address, &ahead).await {
                log::warn!("can't fetch from {address}: {error}");
            }
        }
    }
}
