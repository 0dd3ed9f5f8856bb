//! Whether the settings describe one shape of deployment. The old one: the list gives sizes, by whichever way it comes,
//! and servers report nothing. The new ones: weights that move with load, and reports on probes; or all in one location.
//! The simulator says what its days are, and is taken at its word; a configuration that a person writes is checked.

use crate::fields::{array, field, maybe, names, number, text, truth, Outcome};
use serde_json::Value;

/// An error names the key that does not go with the others.
pub fn check(told: &Value) -> Outcome<()> {
    let live = maybe(told, "weights", text)? == Some("live");
    let feedback = field(told, "feedback")?;
    let how = text(feedback, "how")?;
    let probes = maybe(field(told, "limits")?, "probes", truth)?.unwrap_or(false);
    if live && text(told, "membershipMode")? == "subscribe" {
        return Err("field 'weights' is live, and a list that must be asked for is too old for that; \
                    'membershipMode' is to be automatic"
            .into());
    }
    match how {
        "off" => {}
        "on_probe" if !probes => {
            return Err("field 'limits.probes' is false, but 'feedback.how' has reports come on probes".into())
        }
        "on_probe" if !names(feedback, "fields")?.iter().any(|f| f == "x0") => {
            return Err("field 'feedback.fields' lacks x0, the one figure of a report that is read".into())
        }
        "on_probe" => {}
        "inline" => return Err("field 'feedback.how': reports that come with answers are not read".into()),
        other => return Err(format!("field 'feedback.how' names unknown '{other}'")),
    }
    if array(told, "azs")?.len() == 1 && number(field(told, "deductions")?, "crossZone")? > 0.0 {
        return Err("field 'deductions.crossZone' prices a crossing, but 'azs' names one location".into());
    }
    figures(told)
}

/// Figures that no deployment can mean.
fn figures(told: &Value) -> Outcome<()> {
    let above_zero = |part: &str, names: &[&str]| -> Outcome<()> {
        for name in names {
            if number(field(told, part)?, name)? <= 0.0 {
                return Err(format!("field '{part}.{name}' is not above 0"));
            }
        }
        Ok(())
    };
    above_zero("obligations", &["coldShare", "cold", "fallMultiple", "tipAfter"])?;
    above_zero("limits", &["mostLegs"])?;
    if number(field(told, "obligations")?, "coldShare")? > 1.0 {
        return Err("field 'obligations.coldShare' is over 1".into());
    }
    for name in ["crossZone", "moves"] {
        if number(field(told, "deductions")?, name)? < 0.0 {
            return Err(format!("field 'deductions.{name}' is negative"));
        }
    }
    for one in array(told, "trafficTypes")? {
        for name in ["setupTarget", "guardTime"] {
            if number(one, name)? <= 0.0 {
                return Err(format!("field 'trafficTypes.{name}' is not above 0"));
            }
        }
    }
    Ok(())
}
