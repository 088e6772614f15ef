//! Injects the faults of a run.

use crate::callers::Sender;
use crate::cluster::{Cluster, DOMAINS, UPSTREAMS};
use crate::fault::{Condition, Fault, Hiding};
use crate::fleet::Gateway;
use clock::Millis;
use harness::Signal;
use platform_standin::Mode;
use std::rc::Rc;
use tokio::task::JoinHandle;

const HOT_CALLERS_PER_VM: usize = 4;

impl Cluster {
    /// Injects `fault` and ends it after its span.
    pub async fn inject(self: Rc<Cluster>, fault: Fault) {
        match fault {
            Fault::Stop(index) | Fault::Kill(index, _) | Fault::Pause(index, _) => {
                let index = index % self.gateways.len();
                if !self.gateways_busy[index].replace(true) {
                    self.disrupt(&self.gateways[index], fault).await;
                    self.gateways_busy[index].set(false);
                }
            }
            Fault::Reload(index) => {
                self.gateways[index % self.gateways.len()].signal(Signal::Hup);
            }
            Fault::Network(index, condition, span) => {
                let link = &self.endpoints[index % UPSTREAMS].link;
                link.set(condition);
                tokio::time::sleep(span.duration()).await;
                link.set(Condition::Normal);
            }
            Fault::Store(mode, span) => {
                self.store.set_mode(mode);
                tokio::time::sleep(span.duration()).await;
                self.store.set_mode(Mode::Normal);
            }
            Fault::DropHistory => self.store.drop_history(),
            Fault::DropResponses(index, span) => {
                let drops_responses = &self.endpoints[index % UPSTREAMS].upstream.drops_responses;
                drops_responses.set(true);
                tokio::time::sleep(span.duration()).await;
                drops_responses.set(false);
            }
            Fault::Replace(index) => self.replace(&self.endpoints[index % UPSTREAMS]).await,
            Fault::Evacuate(index, span) => {
                self.evacuate(DOMAINS[index % DOMAINS.len()].0, span).await;
            }
            Fault::Configure => self.configure(),
            Fault::Cut(index, condition, span) => {
                let link = &self.store_links[index % self.store_links.len()];
                link.set(condition);
                tokio::time::sleep(span.duration()).await;
                link.set(Condition::Normal);
            }
            Fault::Withdraw(index, hiding, span) => {
                let index = index % self.gateways.len();
                let hidden = match hiding {
                    Hiding::None => None,
                    Hiding::Store => Some(Fault::Store(Mode::Unavailable, span)),
                    Hiding::Pause => Some(Fault::Pause(index, span)),
                };
                let hide = hidden.map(|fault| Rc::clone(&self).inject(fault));
                let hide = hide.map(|hide| tokio::task::spawn_local(Box::pin(hide)));
                // The fault has begun once the task was polled.
                tokio::time::sleep(Millis(50).duration()).await;
                self.withdraw(index);
                if let Some(hide) = hide
                    && let Err(error) = hide.await
                {
                    self.checker.report_violation(format!("a task of the soak failed: {error}"));
                }
            }
            Fault::Heat(span) => self.heat(span).await,
            Fault::Recover(index, span) => {
                self.recover_store(&self.endpoints[index % UPSTREAMS], span).await;
            }
        }
    }

    /// Sends far more requests of one account than its cap allows.
    async fn heat(&self, span: Millis) {
        let until = self.checker.now() + span;
        let callers: Vec<JoinHandle<()>> = self
            .gateways
            .iter()
            .flat_map(|gateway| [gateway; HOT_CALLERS_PER_VM])
            .map(|gateway| self.send_requests(gateway, Sender::Hot(until)))
            .collect();
        for caller in callers {
            if let Err(error) = caller.await {
                self.checker.report_violation(format!("a task of the soak failed: {error}"));
            }
        }
    }

    async fn disrupt(&self, gateway: &Gateway, fault: Fault) {
        match fault {
            Fault::Kill(_, span) => {
                gateway.kill().await;
                tokio::time::sleep(span.duration()).await;
            }
            Fault::Pause(_, span) => {
                gateway.signal(Signal::Stop);
                tokio::time::sleep(span.duration()).await;
                gateway.signal(Signal::Cont);
                return;
            }
            _ => self.stop(gateway).await,
        }
        if let Err(error) = gateway.start().await {
            self.checker.report_violation(format!("{} can't start: {error}", gateway.vm.name));
        }
    }

    /// Shuts all processes down gracefully at the same time.
    pub async fn stop_all(self: &Rc<Cluster>) {
        let stop = |gateway: &Rc<Gateway>| {
            let (cluster, gateway) = (Rc::clone(self), Rc::clone(gateway));
            tokio::task::spawn_local(async move { cluster.stop(&gateway).await })
        };
        let stops: Vec<JoinHandle<()>> = self.gateways.iter().map(stop).collect();
        for stop in stops {
            if let Err(error) = stop.await {
                self.checker.report_violation(format!("a task of the soak failed: {error}"));
            }
        }
    }

    async fn stop(&self, gateway: &Gateway) {
        if let Err(error) = gateway.stop().await {
            self.checker.report_violation(format!("{}: {error}", gateway.vm.name));
        }
    }
}
