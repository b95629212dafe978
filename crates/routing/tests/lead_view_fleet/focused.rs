//! Fleets of the sizes that are planned for.

use super::world::{Size, World};
use std::time::Duration;

const SIZES: [Size; 3] = [
    Size { gateways: 8, engines: 50, loss: 0.1 },
    Size { gateways: 68, engines: 700, loss: 0.1 },
    Size { gateways: 420, engines: 3_000, loss: 0.1 },
];

#[test]
fn a_view_of_any_size_reaches_all_gateways_within_seconds() {
    for size in SIZES {
        let mut world = World::new(size, 1);

        world.run(Duration::from_secs(4));

        assert_eq!(world.differing(), 0, "{size:?}");
        let most = world.served.iter().max().copied().unwrap_or_default();
        assert!(most <= 40, "{size:?}: one gateway served {most}");
    }
}

#[test]
fn a_change_is_a_few_bytes_whatever_the_number_of_engines() {
    for size in SIZES {
        let mut world = World::new(size, 2);
        world.run(Duration::from_secs(4));

        world.lead_bytes = 0;
        world.change(5);
        world.run(Duration::from_secs(2));

        assert_eq!(world.differing(), 0, "{size:?}");
        // Five engines in each of the messages of 1.2 s, and in those that repair what was lost.
        let bytes = world.lead_bytes / size.gateways;
        println!("{size:?}: {bytes} B a gateway for five changes");
        assert!(bytes < 3_000, "{size:?}: {bytes} B a gateway");
    }
}

#[test]
fn a_new_lead_goes_on_from_the_view_that_the_others_have() {
    for size in SIZES {
        let mut world = World::new(size, 3);
        world.run(Duration::from_secs(4));
        let served: usize = world.served.iter().sum();

        world.change_lead(size.gateways - 1);
        world.change(5);
        world.run(Duration::from_secs(2));

        assert_eq!(world.differing(), 0, "{size:?}");
        // Those that lost all messages of 1.2 s read the whole view.
        let more = world.served.iter().sum::<usize>() - served;
        assert!(more * 20 <= size.gateways, "{size:?}: {more} read the whole view");
    }
}

#[test]
fn a_lead_that_starts_without_any_state_is_followed() {
    for size in SIZES {
        let mut world = World::new(size, 4);
        world.run(Duration::from_secs(4));

        world.restart(0);
        world.change(5);
        world.run(Duration::from_secs(4));

        assert_eq!(world.differing(), 0, "{size:?}");
    }
}

#[test]
fn a_gateway_that_was_frozen_catches_up() {
    let size = SIZES[1];
    let mut world = World::new(size, 5);
    world.run(Duration::from_secs(4));

    world.freeze(3, Duration::from_secs(3));
    for index in 0..20 {
        world.replace(index);
        world.change(5);
        world.run(Duration::from_millis(200));
    }
    world.run(Duration::from_secs(1));

    assert_eq!(world.differing(), 0);
}

#[test]
fn no_message_grows_with_the_number_of_changes() {
    let mut world = World::new(SIZES[2], 6);
    world.run(Duration::from_secs(4));

    world.change(1_500);
    world.run(Duration::from_secs(4));

    assert!(world.largest <= 400, "{}", world.largest);
    assert_eq!(world.differing(), 0);
}
