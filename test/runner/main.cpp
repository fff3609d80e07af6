// Runs one scenario: Lua files in order, with the verbs of the language.

#include "verbs.h"

#include "cassia/base/digest.h"

#include <lua.hpp>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>

namespace {
constexpr int last_block = 155; ///< each has a second octet of 127.0.0.0/8 of its own, from 100 on
} // namespace

static int print_usage(std::FILE* to, int exit_code) {
    std::fprintf(
        to,
        "usage: cassia-scenario [--bin FOLDER] [--state FOLDER] [--block N] [--seed N] "
        "FILE...\n  --block: 0 to %d; processes of different blocks don't share addresses\n",
        last_block);
    return exit_code;
}

int main(int argc, char** argv) {
    constexpr int exit_usage = 2;
    std::string bin = "build/bin";
    std::string state = "build/scenarios/run";
    int block = 0;
    long long seed = static_cast<long long>(cassia::random_bits() % 1000000);
    std::vector<std::string> files;
    for (int i = 1; i < argc; ++i) {
        const std::string word = argv[i];
        const bool has_value = i + 1 < argc;
        if (word == "--help")
            return print_usage(stdout, 0);
        if (word == "--bin" && has_value)
            bin = argv[++i];
        else if (word == "--state" && has_value)
            state = argv[++i];
        else if (word == "--block" && has_value)
            block = std::atoi(argv[++i]);
        else if (word == "--seed" && has_value)
            seed = std::atoll(argv[++i]);
        else if (word.compare(0, 2, "--") == 0)
            return print_usage(stderr, exit_usage);
        else
            files.push_back(word);
    }
    if (files.empty() || block < 0 || block > last_block)
        return print_usage(stderr, exit_usage);
    std::printf("seed %lld\n", seed);
    std::fflush(stdout);
    const std::unique_ptr<cassia::scenario::scenario_context> context(
        new cassia::scenario::scenario_context{{bin, state, block}, {}});
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    lua_pushinteger(lua, seed);
    lua_setglobal(lua, "seed");
    cassia::scenario::register_verbs(lua, *context);
    int failures = 0;
    for (const std::string& file : files) {
        if (luaL_dofile(lua, file.c_str()) == LUA_OK)
            continue;
        std::fprintf(stderr, "%s\nlogs are in %s\n", lua_tostring(lua, -1), state.c_str());
        ++failures;
        break;
    }
    lua_close(lua);
    return failures == 0 ? 0 : 1;
}
