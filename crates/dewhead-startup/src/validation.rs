//! Validation of settings that a person has written. Settings that make sense in no deployment are refused, with an
//! error that names the key; settings that are valid but unusual are accepted, with a remark where they have little or
//! no effect. The simulator generates its settings and skips this validation.

use crate::fields::{array, boolean, field, number, optional, text, text_array, ParseResult};
use serde_json::Value;

/// Validates the settings. Returns a one-line remark for each setting that does not have the effect that its name
/// suggests.
///
/// # Errors
///
/// The key that is invalid.
pub fn validate(settings: &Value) -> ParseResult<Vec<String>> {
    let mut remarks = Vec::new();
    let weights_follow_load = optional(settings, "weights", text)? == Some("live");
    if weights_follow_load && text(settings, "membershipMode")? == "subscribe" {
        remarks.push(
            "field 'weights' is live with 'membershipMode' subscribe: the load that the weights reflect is outdated"
                .into(),
        );
    }
    let feedback = field(settings, "feedback")?;
    match text(feedback, "how")? {
        "off" => {}
        // Accepted, as a proxy that did not start would serve no client, and placing calls by weights alone is nearly
        // as good.
        how @ ("on_probe" | "inline") => {
            text_array(feedback, "fields")?;
            optional(field(settings, "limits")?, "probes", boolean)?;
            remarks.push(format!(
                "field 'feedback.how' is {how}, but servers on sockets report no load; calls are placed by the list's weights alone"
            ));
        }
        other => return Err(format!("field 'feedback.how' names unknown '{other}'")),
    }
    check_numbers(settings)?;
    check_distinct("azs", text_array(settings, "azs")?)?;
    for key in ["trafficTypes", "tenants"] {
        let entries = optional(settings, key, array)?.map_or(&[][..], Vec::as_slice);
        let names = entries.iter().map(|entry| text(entry, "name").map(str::to_owned));
        check_distinct(key, names.collect::<ParseResult<_>>().map_err(|e| format!("field '{key}': {e}"))?)?;
    }
    Ok(remarks)
}

/// Checks that no name appears twice, since calls and servers refer to these names.
fn check_distinct(key: &str, mut names: Vec<String>) -> ParseResult<()> {
    names.sort_unstable();
    match names.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(format!("field '{key}' names '{}' twice", pair[0])),
        None => Ok(()),
    }
}

/// Checks the numbers for values that make sense in no deployment.
fn check_numbers(settings: &Value) -> ParseResult<()> {
    let check_minimum = |section: &str, names: &[&str], must_be_positive: bool| -> ParseResult<()> {
        for name in names {
            let value = number(field(settings, section)?, name)?;
            if must_be_positive && value <= 0.0 {
                return Err(format!("field '{section}.{name}' is not above 0"));
            }
            if value < 0.0 {
                return Err(format!("field '{section}.{name}' is negative"));
            }
        }
        Ok(())
    };
    check_minimum("obligations", &["fallMultiple", "tipAfter"], true)?;
    check_minimum("limits", &["mostLegs"], true)?;
    // A server that is warm immediately, or has no capacity at its start, is unusual but valid.
    check_minimum("obligations", &["coldShare", "cold"], false)?;
    check_minimum("deductions", &["crossZone", "moves"], false)?;
    if number(field(settings, "obligations")?, "coldShare")? > 1.0 {
        return Err("field 'obligations.coldShare' is over 1".into());
    }
    let traffic_types = array(settings, "trafficTypes")?;
    if traffic_types.is_empty() {
        return Err("field 'trafficTypes' names none".into());
    }
    for traffic_type in traffic_types {
        for name in ["setupTarget", "guardTime"] {
            if number(traffic_type, name)? <= 0.0 {
                return Err(format!("field 'trafficTypes.{name}' is not above 0"));
            }
        }
    }
    Ok(())
}
