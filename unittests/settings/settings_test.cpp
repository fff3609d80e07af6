// Settings and the two lists: what is wrong is named with its place.

#include "cassia/schema/settings.pb.h"
#include "cassia/settings/catalog.h"
#include "cassia/settings/reader.h"

#include "cassia/settings/reload.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <unistd.h>

#include <random>

using namespace cassia;
using namespace cassia::settings;

namespace {

const std::string hash(64, 'a');

std::string plans_with(const std::string& extra) {
    return "[[plan]]\nname = \"team\"\nkey_sha256 = [\"" + hash + "\"]\nallowance = \"all\"\n" +
           extra;
}

const std::string allowances =
    "[[allowance]]\nname = \"all\"\nservice = [\"records\"]\n[[allowance.model]]\n"
    "name = \"model\"\nversion = [\"v1\"]\n[[service]]\nname = \"records\"\n"
    "unrepeatable_methods = [\"PUT\"]\n";

problem_list problems_of(const std::string& text) {
    schema::standin_settings out;
    const settings::result<void> read_in = read({{"file.toml", text}}, out);
    return read_in ? problem_list() : read_in.error();
}

} // namespace

TEST_CASE("a file fills the settings, the command line goes over it", "[settings]") {
    schema::standin_settings out;
    REQUIRE(read({{"file.toml", "name = \"e\"\nzone = \"a\"\naddress = \"127.0.0.1:1\"\n"
                                "service = \"m\"\nmax_running = 7\n"},
                  override_text("max_running=9"),
                  override_text("zone=b")},
                 out));
    CHECK(out.max_running() == 9);
    CHECK(out.zone() == "b");
    CHECK(out.token_us() == 1000);
}

TEST_CASE("faults name file, line, column, key and what was expected", "[settings]") {
    const problem_list found = problems_of("name = 5\nnmae = \"x\"\nmax_running = 0\n"
                                           "kind = \"motor\"\nversion = \"v\"\n");
    std::string all;
    for (const problem& one : found)
        all += to_text(one) + "\n";
    INFO(all);
    CHECK(all.find("file.toml:1:8: name: expected a string") != std::string::npos);
    CHECK(all.find("file.toml:2:1: nmae: unknown key") != std::string::npos);
    CHECK(all.find("file.toml:3:15: max_running: expected a whole number of at least 1") !=
          std::string::npos);
    CHECK(all.find("kind: expected one of engine|service|weight-store") != std::string::npos);
    CHECK(all.find("file.toml: zone: missing") != std::string::npos);
    CHECK(all.find("version: expected an array") != std::string::npos);
}

TEST_CASE("a syntax error is one problem with its place", "[settings]") {
    const problem_list found = problems_of("name = \n");
    REQUIRE(found.size() == 1);
    CHECK(found[0].line == 1);
}

TEST_CASE("any text gives settings or problems", "[settings][fuzz]") {
    const unsigned seed = 99;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const std::string valid = plans_with("weight = 2.5\nrate = 10\n");
    for (int i = 0; i < 3000; ++i) {
        std::string text = valid;
        for (int n = 0; n < 3; ++n)
            text[random() % text.size()] = static_cast<char>(32 + random() % 95);
        schema::plans_list out;
        const settings::result<void> read_in = read({{"plans.toml", text}}, out);
        if (!read_in)
            CHECK_FALSE(read_in.error().empty());
    }
}

TEST_CASE("the lists answer who may use what", "[settings]") {
    const settings::result<std::shared_ptr<const catalog>> parsed =
        catalog::parse(3, "plans.toml", plans_with("rate = 20\n"), "allowances.toml", allowances);
    REQUIRE(parsed);
    const catalog& lists = *parsed.value();
    CHECK(lists.version() == 3);
    CHECK(lists.find_by_key("unknown") == nullptr);
    const plan* team = lists.find(team_id("team"));
    REQUIRE(team != nullptr);
    CHECK(team->allowed->models.count(service_id("model")) == 1);
    CHECK(team->allowed->services.count(service_id("records")) == 1);
    CHECK(lists.is_repeatable(service_id("records"), "GET"));
    CHECK_FALSE(lists.is_repeatable(service_id("records"), "PUT"));
    CHECK_FALSE(lists.is_repeatable(service_id("other"), "POST"));
}

TEST_CASE("every fault in both lists is found at once", "[settings]") {
    const settings::result<std::shared_ptr<const catalog>> parsed = catalog::parse(
        1, "plans.toml",
        plans_with("") + plans_with("").replace(9, 13, "name = \"team\"\n") +
            "[[plan]]\nname = \"x\"\nkey_sha256 = [\"short\"]\nallowance = \"none\"\n",
        "allowances.toml", "[[allowance]]\nname = \"all\"\nshare = 2\n");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().size() >= 4);
}

// Guards against a change during a program's start that it never applies.
TEST_CASE("a file that has changed since the settings were loaded is read again", "[settings]") {
    const std::string path = "/tmp/cassia-reload-start-" + std::to_string(getpid()) + ".toml";
    const std::string text = "name = \"k\"\nzone = \"z\"\ndata_dir = \"d\"\n"
                             "peer_address = \"127.0.0.1:1\"\nhttp_address = \"127.0.0.1:2\"\n";
    std::ofstream(path, std::ios::trunc) << text << "[cluster]\nseed = [\"10.0.0.1:5\"]\n";
    const char* arguments[] = {"program", "--config", path.c_str()};
    schema::keeper_settings settings;
    const command_line line = read_command_line(3, arguments, {"program", "", "", ""}, settings);
    REQUIRE_FALSE(line.exit);
    std::ofstream(path, std::ios::trunc) << text << "[cluster]\nseed = [\"10.0.0.9:5\"]\n";
    reload_watch watch(line);
    schema::keeper_settings changed;
    REQUIRE(watch.poll(changed));
    CHECK(changed.cluster().seed(0) == "10.0.0.9:5");
    unlink(path.c_str());
}

// Story: an operator replaces a settings file while the process runs, with a slip in it. The
// process must go on with what it had, say what is wrong, and take the mended file.
TEST_CASE("a changed file is read again, and one with faults changes nothing", "[settings]") {
    const std::string path = "/tmp/cassia-reload-" + std::to_string(getpid()) + ".toml";
    const auto write = [&path](const std::string& text) {
        std::ofstream(path, std::ios::trunc) << text;
    };
    const std::string fine = "name = \"k\"\nzone = \"z\"\ndata_dir = \"d\"\n"
                             "peer_address = \"127.0.0.1:1\"\nhttp_address = \"127.0.0.1:2\"\n"
                             "[cluster]\nseed = [\"10.0.0.1:5\"]\n";
    write(fine);
    command_line line;
    line.config = path;
    line.config_text = fine;
    line.overrides = {"zone=\"other\""};
    reload_watch watch(line);
    schema::keeper_settings settings;
    CHECK_FALSE(watch.poll(settings));
    write(fine + "unknown = 1\n");
    CHECK_FALSE(watch.poll(settings));
    std::string changed = fine;
    changed.replace(changed.find("10.0.0.1"), 8, "10.0.0.9");
    write(changed);
    schema::keeper_settings read_again;
    REQUIRE(watch.poll(read_again));
    CHECK(read_again.cluster().seed(0) == "10.0.0.9:5");
    CHECK(read_again.zone() == "other");
    CHECK_FALSE(watch.poll(read_again));
    unlink(path.c_str());
}
