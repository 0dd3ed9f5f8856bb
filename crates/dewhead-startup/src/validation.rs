//! Whether the settings can be meant. What no deployment can mean is refused by its key; what is legal but unusual is
//! obeyed, and where that leaves something out, a remark says so. The simulator says what its days are, and is taken at
//! its word; a configuration that a person writes is checked.

use crate::fields::{array, boolean, field, number, optional, text, text_array, ParseResult};
use serde_json::Value;

/// An error names the key that can't be meant. What is obeyed otherwise than its words say comes back, a line each.
pub fn validate(told: &Value) -> ParseResult<Vec<String>> {
    let mut remarks = Vec::new();
    let live = optional(told, "weights", text)? == Some("live");
    if live && text(told, "membershipMode")? == "subscribe" {
        remarks.push(
            "field 'weights' is live beside 'membershipMode' subscribe: what they say of load is old".into(),
        );
    }
    let feedback = field(told, "feedback")?;
    match text(feedback, "how")? {
        "off" => {}
        // A proxy that did not start served nobody, and weights alone serve nearly as well.
        how @ ("on_probe" | "inline") => {
            text_array(feedback, "fields")?;
            optional(field(told, "limits")?, "probes", boolean)?;
            remarks.push(format!(
                "field 'feedback.how' is {how}, and servers on sockets tell no load; calls go by the list's weights alone"
            ));
        }
        other => return Err(format!("field 'feedback.how' names unknown '{other}'")),
    }
    figures(told)?;
    distinct("azs", text_array(told, "azs")?)?;
    for key in ["trafficTypes", "tenants"] {
        let listed = optional(told, key, array)?.map_or(&[][..], Vec::as_slice);
        let named = listed.iter().map(|one| text(one, "name").map(str::to_owned));
        distinct(key, named.collect::<ParseResult<_>>().map_err(|e| format!("field '{key}': {e}"))?)?;
    }
    Ok(remarks)
}

/// Calls and servers are told by these names.
fn distinct(key: &str, mut names: Vec<String>) -> ParseResult<()> {
    names.sort_unstable();
    match names.windows(2).find(|two| two[0] == two[1]) {
        Some(two) => Err(format!("field '{key}' names '{}' twice", two[0])),
        None => Ok(()),
    }
}

/// Figures that no deployment can mean.
fn figures(told: &Value) -> ParseResult<()> {
    let least = |part: &str, names: &[&str], above: bool| -> ParseResult<()> {
        for name in names {
            let figure = number(field(told, part)?, name)?;
            if above && figure <= 0.0 {
                return Err(format!("field '{part}.{name}' is not above 0"));
            }
            if figure < 0.0 {
                return Err(format!("field '{part}.{name}' is negative"));
            }
        }
        Ok(())
    };
    least("obligations", &["fallMultiple", "tipAfter"], true)?;
    least("limits", &["mostLegs"], true)?;
    // A server that is warm from its first moment, or bears nothing in it, is unusual.
    least("obligations", &["coldShare", "cold"], false)?;
    least("deductions", &["crossZone", "moves"], false)?;
    if number(field(told, "obligations")?, "coldShare")? > 1.0 {
        return Err("field 'obligations.coldShare' is over 1".into());
    }
    let listed = array(told, "trafficTypes")?;
    if listed.is_empty() {
        return Err("field 'trafficTypes' names none".into());
    }
    for one in listed {
        for name in ["setupTarget", "guardTime"] {
            if number(one, name)? <= 0.0 {
                return Err(format!("field 'trafficTypes.{name}' is not above 0"));
            }
        }
    }
    Ok(())
}
