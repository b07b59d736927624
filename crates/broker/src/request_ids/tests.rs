use super::*;

/// An id must not be given to another query while the query or any of its parts holds a lease.
#[test]
fn id_is_in_use_until_the_last_lease_is_dropped() {
    let ids = RequestIds::default();
    let id: Rc<str> = "9b1f03aa".into();
    let of_query = ids.try_acquire(&id).unwrap();
    let of_part = of_query.clone();
    drop(of_query);
    assert!(ids.try_acquire(&id).is_none());
    assert!(ids.try_acquire(&"5c7e2d41".into()).is_some());
    drop(of_part);
    assert!(ids.try_acquire(&id).is_some());
}
