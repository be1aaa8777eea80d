//! Division of a gateway's memory.

use limpetferry_lib::gateway_budget::GatewayBudget;
use limpetferry_lib::gateway_budget::GatewayPart;
use limpetferry_lib::gateway_budget::MIN_MEMORY;

/// Memories of the VMs of deployments, in megabytes.
const MEMORIES_MB: [u64; 8] = [48, 88, 96, 110, 160, 220, 260, 512];
/// Part of the memory that is left for code, stacks and tables.
const REST: f64 = 0.08;
/// Longest body that a routing document allows unless it says more, in bytes.
const LONGEST_BODY: u64 = 4 << 20;

// Guards against gateways whose bounds are the same whatever their VM has.
#[test]
fn all_parts_leave_memory_for_the_rest() {
    for memory in MEMORIES_MB.map(|memory| memory << 20) {
        let budget = GatewayBudget::new(memory);

        let parts = GatewayPart::ALL.map(|part| budget.bytes(part));

        let given = parts.iter().sum::<u64>() as f64;
        assert!(given <= memory as f64 * (1.0 - REST), "{memory}: {parts:?}");
        assert!(parts.iter().all(|part| *part > 0), "{memory}: {parts:?}");
    }
}

#[test]
fn the_least_memory_holds_a_body_of_the_default_limit() {
    let budget = GatewayBudget::new(MIN_MEMORY);

    assert!(budget.bodies >= LONGEST_BODY, "{budget:?}");
    assert!(budget.connections >= 300, "{budget:?}");
}

#[test]
fn the_smaller_of_a_setting_and_the_memory_holds() {
    let budget = GatewayBudget::new(88 << 20);

    let lower = budget.limited(Some(10), Some(1 << 20));
    let higher = budget.limited(Some(usize::MAX), Some(u64::MAX));

    assert_eq!((lower.connections, lower.bodies), (10, 1 << 20));
    assert_eq!(higher, budget);
    assert_eq!(budget.limited(None, None), budget);
}
