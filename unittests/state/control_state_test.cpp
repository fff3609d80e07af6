// Retirements of keepers in the state of the control group.

#include "cassia/schema/messages.pb.h"
#include "cassia/state/control_state.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::state;

namespace {

schema::control_command retirement(std::uint64_t disk, bool ended) {
    schema::control_command command;
    command.mutable_retire()->set_name("keeper");
    command.mutable_retire()->set_node("node");
    command.mutable_retire()->set_disk(disk);
    command.mutable_retire()->set_ended(ended);
    return command;
}

} // namespace

// Guards against a keeper that can't return once it was retired, or counts again before its end.
TEST_CASE("a retirement begins and ends once for each disk", "[state]") {
    control_state control;
    const auto changes = [&control](std::uint64_t disk, bool ended) {
        return control.apply(retirement(disk, ended)).result() == schema::control_reply::accepted;
    };
    CHECK_FALSE(changes(1, true));
    CHECK(changes(1, false));
    CHECK_FALSE(changes(1, false));
    CHECK(changes(2, false));
    CHECK(changes(1, true));
    CHECK_FALSE(changes(1, true));
    CHECK_FALSE(changes(1, false));
    control = std::move(control_state::load(control.save()).value());
    CHECK(control.retirements() == 3);
    REQUIRE(control.retiring().size() == 2);
    CHECK(control.retiring().at(0).ended());
    CHECK_FALSE(control.retiring().at(1).ended());
    CHECK(changes(2, true));
    CHECK(changes(3, false));
}

TEST_CASE("an image of an earlier version counts its retirements", "[state]") {
    schema::control_state_image image;
    image.add_retiring()->set_disk(1);
    image.add_retiring()->set_disk(2);
    const result<control_state> loaded = control_state::load(image.SerializeAsString());
    REQUIRE(loaded.has_value());
    CHECK(loaded.value().retirements() == 2);
}
