use crate::Agent;
use crate::rows::CurrentRow;
use crate::state::Installed;
use bytes::Bytes;
use errors::{Error, Kind};
use peer::message::Current;
use settings::Declaration;
use std::sync::Arc;
use steering::Plan;

impl Agent {
    /// Installs a configuration unless this VM has the same version or a greater one.
    ///
    /// `origin` is the VM where the update originated.
    ///
    /// # Errors
    ///
    /// [`Kind::Malformed`] when `body` isn't the declaration that `current` refers to or can't be
    /// decoded.
    pub(crate) fn install(
        &self,
        current: Current,
        body: Bytes,
        origin: &Arc<str>,
    ) -> Result<(), Error> {
        let declaration = self.declaration_of(&current, &body)?;
        let mut state = self.state();
        if current.version <= state.stamp().version {
            return Ok(());
        }
        log::info!(
            "installed configuration version {} with preset `{}`, made by operation {}",
            current.version,
            current.preset,
            current.operations.last().map_or("", |operation| &operation.id)
        );
        state.installed = Some(Installed { current, declaration, body });
        state.pending_pushes.push(Arc::clone(origin));
        drop(state);
        self.snapshot_due.notify_one();
        self.push_due.notify_one();
        Ok(())
    }

    /// Installs a plan unless this VM has the same or a newer one.
    ///
    /// `origin` is the VM where the update originated.
    pub(crate) fn install_plan(&self, plan: Plan, origin: &Arc<str>) {
        let mut state = self.state();
        if (plan.epoch, plan.sequence) <= (state.plan.epoch, state.plan.sequence) {
            return;
        }
        log::info!(
            "installed plan {}.{} for configuration version {}",
            plan.epoch,
            plan.sequence,
            plan.version
        );
        state.plan = Arc::new(plan);
        state.pending_pushes.push(Arc::clone(origin));
        drop(state);
        self.snapshot_due.notify_one();
        self.push_due.notify_one();
    }

    /// The encoded declaration with `digest`, if it is the installed one.
    pub(crate) fn body_of(&self, digest: &str) -> Option<Bytes> {
        let state = self.state();
        let installed = state.installed.as_ref()?;
        (*installed.current.digest == *digest).then(|| installed.body.clone())
    }

    /// Installs the configuration in `row`, with the declaration from the object store.
    ///
    /// # Errors
    ///
    /// [`Kind::PlatformDown`] when the object store can't be read, [`Kind::Internal`] when it has
    /// no such declaration, [`Kind::Malformed`] when the declaration doesn't match its digest or
    /// can't be decoded.
    pub(crate) async fn install_row(&self, row: CurrentRow) -> Result<(), Error> {
        if row.value.version <= self.stamp().version {
            return Ok(());
        }
        let body = match self.body_of(&row.value.digest) {
            Some(body) => body,
            None => self.load_declaration(&row.value.digest).await?,
        };
        self.install(row.value, body, &self.name())
    }

    async fn load_declaration(&self, digest: &str) -> Result<Bytes, Error> {
        let body = self.platform.store.get(digest).await;
        let body = body.map_err(|failure| Error::new(Kind::PlatformDown, failure.to_string()))?;
        let missing = || {
            Error::new(
                Kind::Internal,
                format!("the object store has no declaration with digest {digest}"),
            )
        };
        body.map(Bytes::from).ok_or_else(missing)
    }

    fn declaration_of(&self, current: &Current, body: &Bytes) -> Result<Arc<Declaration>, Error> {
        if let Some(installed) = &self.state().installed
            && installed.current.digest == current.digest
        {
            return Ok(Arc::clone(&installed.declaration));
        }
        if store::digest(body) != current.digest {
            return Err(Error::new(
                Kind::Malformed,
                "the received declaration doesn't match its digest",
            ));
        }
        let declaration = rmp_serde::from_slice(body);
        let malformed = |error| {
            Error::new(Kind::Malformed, format!("the declaration can't be decoded: {error}"))
        };
        declaration.map(Arc::new).map_err(malformed)
    }
}
