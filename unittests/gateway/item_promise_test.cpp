// What callers are promised about batch items, against endpoints that do anything in any order.

#include "item_keeper.h"
#include "random_endpoint.h"

#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

using namespace cassia;
using namespace cassia::gateway;

namespace {

constexpr int endpoints = 5;
constexpr int gateways = 2;
constexpr int items_each = 90;
constexpr int events_of_an_item = 6;
constexpr std::uint32_t max_failures = 3;
constexpr milliseconds step(50);
constexpr int max_steps = 600;

/// One in nine can't be done, one in nine fails at each run.
std::string name_of(int ordinal) {
    const std::string number = std::to_string(ordinal);
    if (ordinal % 9 == 4)
        return "bad" + number;
    return ordinal % 9 == 8 ? "fails" + number : "i" + number;
}

/// Gateways that run one job's items, and the endpoints. Leases are lost, and items yield.
class item_promise_fixture {
public:
    explicit item_promise_fixture(std::uint64_t seed)
        : random_(seed), keeper_(task_, items_each, max_failures, seed, name_of) {
        start_logs("test", log_level::error, "");
        std::vector<policy::slot_endpoint> listed;
        for (int number = 1; number <= endpoints; ++number) {
            fleet_.push_back(std::make_unique<random_endpoint>(task_, number, seed, record));
            fleet_.back()->runs_items = true;
            fleet_.back()->rejected_share = seed % 2 == 0 ? 0.6 : 0.25;
            const std::string version = number <= 3 ? "v1" : "v2";
            versions[std::to_string(number)] = version;
            listed.push_back({endpoint_id("e" + std::to_string(number)), 1,
                              http_address(address_of(number)), zone_id("z"), service_id("web"),
                              slots_per_fixture_endpoint, software_version(version)});
        }
        for (int number = 1; number <= gateways; ++number)
            gateways_.push_back(
                std::make_unique<item_gateway>(task_, keeper_, "g" + std::to_string(number)));
        for (const std::unique_ptr<item_gateway>& gateway : gateways_)
            gateway->set_endpoints(listed);
    }

    /// Goes on until all items are listed. \returns whether they are.
    bool play() {
        for (int i = 0; i < max_steps && keeper_.results().size() < items_each; ++i) {
            task_.after(step, [this] { task_.quit(); });
            task_.run();
            disturb();
            note_results();
        }
        return keeper_.results().size() == items_each;
    }
    std::uint64_t count(const std::string& metric) const {
        std::uint64_t sum = 0;
        for (const std::unique_ptr<item_gateway>& gateway : gateways_)
            sum += gateway->counts.counter(metric);
        return sum;
    }
    const std::vector<schema::item_result>& results() const { return seen_; }
    int leases_lost_of(std::uint32_t ordinal) const {
        auto found = keeper_.leases_lost.find(ordinal);
        return found == keeper_.leases_lost.end() ? 0 : found->second;
    }

    fleet_record record;
    std::map<std::string, std::string> versions; ///< by endpoint
    int changed_results = 0;                     ///< positions whose result was another before
    int leases_lost = 0;

private:
    bool chance(double share) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }
    void disturb() {
        for (const std::unique_ptr<item_gateway>& gateway : gateways_) {
            if (chance(0.02)) {
                keeper_.revoke(gateway->name);
                ++leases_lost;
            }
            if (chance(0.2))
                gateway->drop_stale(keeper_);
            if (chance(0.1))
                gateway->runner.yield(endpoint_id("e1"), 1);
        }
    }
    void note_results() {
        const std::vector<schema::item_result> now = keeper_.results();
        for (std::size_t i = 0; i < seen_.size(); ++i)
            changed_results += i < now.size() && now[i].body() == seen_[i].body() &&
                                       now[i].custom_id() == seen_[i].custom_id() &&
                                       now[i].status() == seen_[i].status()
                                   ? 0
                                   : 1;
        seen_ = now;
    }

    net::task task_{"test"};
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<random_endpoint>> fleet_;
    item_keeper keeper_;
    std::vector<std::unique_ptr<item_gateway>> gateways_;
    std::vector<schema::item_result> seen_;
};

/// What is wrong with an item's text; empty if nothing is.
std::string fault_of(const schema::item_result& result, const item_promise_fixture& fixture) {
    std::istringstream lines(result.body());
    std::string line;
    int event = 0;
    std::size_t last_run = fixture.record.item_runs.size();
    std::string version;
    while (std::getline(lines, line)) {
        std::istringstream words(line);
        std::string item;
        int number = 0;
        std::size_t run = 0;
        words >> item >> number >> run;
        if (!words || run >= fixture.record.item_runs.size())
            return "unreadable event";
        if (item != result.custom_id())
            return "an event of " + item;
        if (number != ++event)
            return "event " + std::to_string(number) + " in place of " + std::to_string(event);
        const begun_run& begun = fixture.record.item_runs[run];
        if (run != last_run && begun.last_event != event - 1)
            return "joined behind event " + std::to_string(event - 1) + " with a run behind " +
                   std::to_string(begun.last_event);
        if (run != last_run && !version.empty() && fixture.versions.at(begun.endpoint) != version)
            return "two versions";
        version = fixture.versions.at(begun.endpoint);
        last_run = run;
    }
    return event == events_of_an_item ? "" : std::to_string(event) + " events";
}

int sent_status(const item_promise_fixture& fixture, const std::string& item, int status) {
    auto found = fixture.record.sent_statuses.find(item);
    if (found == fixture.record.sent_statuses.end() || found->second.count(status) == 0)
        return 0;
    return found->second.at(status);
}

std::vector<std::string> broken_promises(item_promise_fixture& fixture) {
    std::vector<std::string> broken;
    // A run that counts as a rejection is one more than were sent.
    const int rejections = fixture.record.done["proved_not_run"];
    if (fixture.count("items_rejected") > static_cast<std::uint64_t>(rejections))
        broken.push_back("runs count as rejections");
    if (fixture.changed_results > 0)
        broken.push_back("results of " + std::to_string(fixture.changed_results) + " changed");
    std::map<std::string, int> listed;
    for (const schema::item_result& result : fixture.results()) {
        const std::string& item = result.custom_id();
        ++listed[item];
        const int failures = sent_status(fixture, item, 500);
        const int impossible = sent_status(fixture, item, 422);
        const bool is_done = result.status() == schema::completed;
        std::string fault = is_done ? fault_of(result, fixture) : "";
        if (!fault.empty())
            broken.push_back(fault.append(" in ").append(item));
        const bool may_be_dead = failures >= static_cast<int>(max_failures) || impossible > 0;
        if (!is_done && !may_be_dead)
            broken.push_back(item + ": given up after " + std::to_string(failures) + " failures");
        // A gateway that has lost the item's lease is out of touch: what it sent doesn't count.
        const int lost = fixture.leases_lost_of(result.ordinal());
        if (failures > 3 * static_cast<int>(max_failures) + lost || impossible > 3 + lost) {
            UNSCOPED_INFO(item << ": 500 sent " << failures << " times, 422 " << impossible
                               << " times, its lease lost " << lost << " times");
            broken.push_back("sent too often: " + item);
        }
    }
    for (const std::pair<const std::string, int>& one : listed) {
        if (one.second > 1)
            broken.push_back("listed twice: " + one.first);
    }
    return broken;
}

void check_items(int seeds) {
    std::map<std::string, int> done;
    int broken_seeds = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        item_promise_fixture fixture(static_cast<std::uint64_t>(seed));
        CHECK(fixture.play());
        const std::vector<std::string> broken = broken_promises(fixture);
        CHECK_THAT(broken, Catch::Matchers::Equals(std::vector<std::string>()));
        broken_seeds += broken.empty() ? 0 : 1;
        for (const std::pair<const std::string, int>& one : fixture.record.done)
            done[one.first] += one.second;
        for (const schema::item_result& result : fixture.results())
            ++done["listed_" + schema::item_status_Name(result.status())];
        done["leases_lost"] += fixture.leases_lost;
        for (const char* name :
             {"items_rejected", "items_resumed", "items_begun_anew", "items_yielded"})
            done[name] += static_cast<int>(fixture.count(name));
    }
    std::string text;
    for (const std::pair<const std::string, int>& one : done)
        text += " " + one.first + "=" + std::to_string(one.second);
    WARN("items, " << seeds << " seeds, " << broken_seeds << " broken:" << text);
    // A test that does little of what it is for shows nothing.
    CHECK(done["rejected"] >= 20 * seeds);
    CHECK(done["copies"] >= 5 * seeds);
    CHECK(done["freezes"] >= seeds);
    CHECK(done["items_resumed"] >= seeds);
    CHECK(done["listed_completed"] >= items_each / 2 * seeds);
    CHECK(done["listed_failed"] >= items_each / 9 * seeds);
}

} // namespace

// Guards against a response to one item or run that is taken for one to another.
TEST_CASE("a listed item is its own whole output, or used up its attempts", "[item-promise]") {
    check_items(2);
}

TEST_CASE("the same of items with many seeds", "[.item-promise-seeds]") {
    check_items(25);
}
