use super::order_key;

/// Guards against messages that are delivered out of order because their order key is read from the wrong
/// place: the path comes before the query, and an empty key is none.
#[test]
fn order_key_is_read_from_the_path_or_else_from_the_query() {
    let rows: &[(&str, &str, Option<&str>)] = &[
        ("/orders/00081cea", "", Some("00081cea")),
        ("/orders/a/b", "", Some("a/b")),
        ("/orders/a", "about=b", Some("a")),
        ("/orders", "x=1&about=b", Some("b")),
        ("/orders/", "about=b", Some("b")),
        ("/orders/", "about=", None),
        ("/orders", "", None),
        ("/", "", None),
        ("", "", None),
    ];
    for (path, query, expected) in rows {
        assert_eq!(order_key(path, query).as_deref(), *expected, "{path}?{query}");
    }
}
