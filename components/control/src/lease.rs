use crate::Agent;

impl Agent {
    pub(crate) async fn plan(&self) {
        std::future::pending::<()>().await;
    }

    pub(crate) async fn release_lease(&self) {}
}
