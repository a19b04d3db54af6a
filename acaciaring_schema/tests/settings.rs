//! Checks that the field table agrees with the settings structs.

use acaciaring_schema::settings::{FIELDS, Settings};

#[test]
fn each_default_text_gives_the_default_value() {
    let mut settings = Settings::default();
    for field in FIELDS.iter().filter(|field| !field.default.is_empty()) {
        let outcome = (field.assign)(&mut settings, field.default);
        assert_eq!(outcome, Ok(()), "{}.{}", field.section, field.key);
    }
    assert_eq!(settings, Settings::default());
}

#[test]
fn a_required_setting_has_no_default() {
    for field in FIELDS.iter().filter(|field| field.required) {
        assert_eq!(field.default, "", "{}.{}", field.section, field.key);
    }
}
