//! Numbers and addresses in settings files. A template writes them as the platform has
//! them: integers, fractions or text, and empty text, null or false where there is no
//! value.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Unexpected;
use serde::de::Visitor;

/// Most megabytes that a setting may name; their bytes fit 64 bits.
pub const MAX_MEGABYTES: u64 = 1 << 40;
/// Longest duration that a setting may name, in seconds.
pub const MAX_SECONDS: u64 = 1_000_000_000;
/// Highest count that a setting may name.
pub const MAX_COUNT: u64 = 1 << 32;

/// Reads a count; there has to be one.
///
/// # Errors
///
/// Returns an error if it is not a whole number from zero to [`MAX_COUNT`].
pub fn count<'de, D: Deserializer<'de>>(input: D) -> Result<usize, D::Error> {
    input.deserialize_any(Number {
        expected: "a whole number from 0 to 4294967296",
        convert: |number| whole(number, MAX_COUNT).map(|number| number as usize),
        empty: None,
    })
}

/// Reads a count, if there is one.
///
/// # Errors
///
/// Returns the errors of [`count`].
pub fn optional_count<'de, D: Deserializer<'de>>(input: D) -> Result<Option<usize>, D::Error> {
    input.deserialize_any(Number {
        expected: "a whole number from 0 to 4294967296",
        convert: |number| whole(number, MAX_COUNT).map(|number| Some(number as usize)),
        empty: Some(None),
    })
}

/// Reads a whole number of milliseconds; there has to be one.
///
/// # Errors
///
/// Returns an error if it is not a whole number, or longer than [`MAX_SECONDS`].
pub fn milliseconds<'de, D: Deserializer<'de>>(input: D) -> Result<u64, D::Error> {
    input.deserialize_any(Number {
        expected: "a whole number of milliseconds from 0 to 1000000000000",
        convert: |number| whole(number, MAX_SECONDS * 1_000),
        empty: None,
    })
}

/// Reads a whole number of milliseconds, if there is one.
///
/// # Errors
///
/// Returns the errors of [`milliseconds`].
pub fn optional_milliseconds<'de, D: Deserializer<'de>>(input: D) -> Result<Option<u64>, D::Error> {
    input.deserialize_any(Number {
        expected: "a whole number of milliseconds from 0 to 1000000000000",
        convert: |number| whole(number, MAX_SECONDS * 1_000).map(Some),
        empty: Some(None),
    })
}

/// Reads megabytes, if there is a number; a fraction of one does not count.
///
/// # Errors
///
/// Returns an error if they are negative or more than [`MAX_MEGABYTES`].
pub fn optional_megabytes<'de, T: TryFrom<u64>, D: Deserializer<'de>>(
    input: D,
) -> Result<Option<T>, D::Error> {
    input.deserialize_any(Number {
        expected: "a number of megabytes from 0 to 1099511627776",
        convert: |number| {
            let megabytes = whole(number.floor(), MAX_MEGABYTES)?;
            T::try_from(megabytes).ok().map(Some)
        },
        empty: Some(None),
    })
}

/// Reads a duration in seconds, if there is a number.
///
/// # Errors
///
/// Returns an error if it is negative or longer than [`MAX_SECONDS`].
pub fn optional_seconds<'de, D: Deserializer<'de>>(input: D) -> Result<Option<Duration>, D::Error> {
    input.deserialize_any(Number {
        expected: "a number of seconds from 0 to 1000000000",
        convert: |number| {
            let range = 0.0..=MAX_SECONDS as f64;
            let is_valid = range.contains(&number);
            is_valid.then(|| Some(Duration::from_secs_f64(number)))
        },
        empty: Some(None),
    })
}

/// Writes a duration in seconds, if there is one.
///
/// # Errors
///
/// Returns the error of the output.
pub fn write_seconds<S: Serializer>(
    duration: &Option<Duration>,
    output: S,
) -> Result<S::Ok, S::Error> {
    match duration {
        Some(duration) => output.serialize_f64(duration.as_secs_f64()),
        None => output.serialize_none(),
    }
}

/// Reads a number of zero or more, if there is one.
///
/// # Errors
///
/// Returns an error if it is negative or not finite.
pub fn optional_number<'de, D: Deserializer<'de>>(input: D) -> Result<Option<f64>, D::Error> {
    input.deserialize_any(Number {
        expected: "a number of zero or more",
        convert: |number| (number.is_finite() && number >= 0.0).then_some(Some(number)),
        empty: Some(None),
    })
}

/// Reads true or false; no value is false.
///
/// # Errors
///
/// Returns an error if it is something else.
pub fn flag<'de, D: Deserializer<'de>>(input: D) -> Result<bool, D::Error> {
    input.deserialize_any(Flag)
}

/// Reads a list of addresses, or text in which commas separate them.
///
/// # Errors
///
/// Returns an error if one is not an IP address with a port.
pub fn addresses<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<SocketAddr>, D::Error> {
    input.deserialize_any(Addresses)
}

fn whole(number: f64, most: u64) -> Option<u64> {
    let is_valid = number.fract() == 0.0 && (0.0..=most as f64).contains(&number);
    is_valid.then_some(number as u64)
}

/// Reads a number in any of its forms.
struct Number<T> {
    expected: &'static str,
    /// Returns nothing for a number out of range.
    convert: fn(f64) -> Option<T>,
    /// Stands for no value, if it may be missing.
    empty: Option<T>,
}

impl<T> Number<T> {
    fn read<E: Error>(self, number: f64, given: Unexpected<'_>) -> Result<T, E> {
        (self.convert)(number).ok_or_else(|| E::invalid_value(given, &self.expected))
    }
}

impl<T> Visitor<'_> for Number<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.expected)
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<T, E> {
        self.read(number as f64, Unexpected::Unsigned(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<T, E> {
        self.read(number as f64, Unexpected::Signed(number))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<T, E> {
        // `Unexpected::Float` writes all digits of 1e300.
        let given = format!("number `{number:?}`");
        self.read(number, Unexpected::Other(&given))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        let text = text.trim();
        if text.is_empty() || text.eq_ignore_ascii_case("false") {
            return self.visit_unit();
        }
        let number = text.parse().unwrap_or(f64::NAN);
        self.read(number, Unexpected::Str(text))
    }

    fn visit_bool<E: Error>(self, given: bool) -> Result<T, E> {
        if given {
            return Err(E::invalid_value(Unexpected::Bool(given), &self.expected));
        }
        self.visit_unit()
    }

    fn visit_unit<E: Error>(self) -> Result<T, E> {
        let missing = E::invalid_value(Unexpected::Other("no value"), &self.expected);
        self.empty.ok_or(missing)
    }
}

struct Flag;

impl Visitor<'_> for Flag {
    type Value = bool;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("true or false")
    }

    fn visit_bool<E: Error>(self, flag: bool) -> Result<bool, E> {
        Ok(flag)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<bool, E> {
        match text.trim().to_ascii_lowercase().as_str() {
            "true" => Ok(true),
            "false" | "" => Ok(false),
            other => Err(E::invalid_value(Unexpected::Str(other), &self)),
        }
    }

    fn visit_unit<E: Error>(self) -> Result<bool, E> {
        Ok(false)
    }
}

/// An address in a list; empty text is none.
struct Address(Option<SocketAddr>);

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        // Errors of a visitor have the position of the value.
        input.deserialize_str(AddressVisitor)
    }
}

struct AddressVisitor;

impl Visitor<'_> for AddressVisitor {
    type Value = Address;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an IP address with a port, such as 10.1.0.38:8144")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Address, E> {
        let text = text.trim();
        if text.is_empty() {
            return Ok(Address(None));
        }
        let address = text.parse();
        let address = address.map_err(|_| E::invalid_value(Unexpected::Str(text), &self))?;
        Ok(Address(Some(address)))
    }
}

struct Addresses;

impl<'de> Visitor<'de> for Addresses {
    type Value = Vec<SocketAddr>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IP addresses with ports, such as 10.1.0.38:8144")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Vec<SocketAddr>, E> {
        let mut addresses = Vec::new();
        for text in text.split(',') {
            addresses.extend(AddressVisitor.visit_str::<E>(text)?.0);
        }
        Ok(addresses)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<SocketAddr>, A::Error> {
        let mut addresses = Vec::new();
        while let Some(Address(address)) = list.next_element()? {
            addresses.extend(address);
        }
        Ok(addresses)
    }

    fn visit_unit<E: Error>(self) -> Result<Vec<SocketAddr>, E> {
        Ok(Vec::new())
    }
}
