//! Limits the calls to the platform's store to this entry's budget.

use {
    crate::{
        core::store_budget::{CallKind, StoreBudget, Urgency},
        ports::{
            Counter, Metrics, ObjectStore, Row, StoreError, Table, TimerService, Transaction,
            TransactionOutcome,
        },
    },
    async_trait::async_trait,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Rejects calls above the budget as unavailable, without sending them.
#[derive(Debug)]
pub(crate) struct BudgetedStore<S> {
    pub(crate) store: Arc<S>,
    pub(crate) budget: Arc<Mutex<StoreBudget>>,
    pub(crate) urgency: Urgency,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) metrics: Arc<dyn Metrics>,
}

impl<S> BudgetedStore<S> {
    fn lock(&self) -> MutexGuard<'_, StoreBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call_within_budget<T>(
        &self,
        kind: CallKind,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let admission = self.lock().admit(self.timer.now(), kind, self.urgency);
        if let Err(refusal) = admission {
            self.metrics.count(Counter::StoreCalls, refusal.as_str());
            return Err(StoreError::Unavailable(refusal.as_str().to_owned()));
        }
        let result = call.await;
        self.lock().record_result(self.timer.now(), result.is_ok());
        result
    }
}

#[async_trait]
impl<S: Table> Table for BudgetedStore<S> {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.call_within_budget(CallKind::Read, self.store.get(key))
            .await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, StoreError> {
        self.call_within_budget(CallKind::Read, self.store.scan(prefix))
            .await
    }

    async fn transact(&self, transaction: Transaction) -> Result<TransactionOutcome, StoreError> {
        let call = self.store.transact(transaction);
        self.call_within_budget(CallKind::Write, call).await
    }
}

#[async_trait]
impl<S: ObjectStore> ObjectStore for BudgetedStore<S> {
    async fn get_object(&self, name: &str) -> Result<Option<String>, StoreError> {
        self.call_within_budget(CallKind::Read, self.store.get_object(name))
            .await
    }

    async fn put_object(&self, name: &str, body: String) -> Result<(), StoreError> {
        let call = self.store.put_object(name, body);
        self.call_within_budget(CallKind::Write, call).await
    }
}
