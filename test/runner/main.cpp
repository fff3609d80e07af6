// Runs one scenario: Lua files in order, with the verbs of the language.
// usage: cassia-scenario --bin FOLDER --state FOLDER --block N [--seed N] FILE...

#include "verbs.h"

#include "cassia/base/digest.h"

#include <lua.hpp>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>

int main(int argc, char** argv) {
    std::string bin = "build/bin";
    std::string state = "build/scenarios/run";
    int block = 0;
    long long seed = static_cast<long long>(cassia::random_bits() % 1000000);
    std::vector<std::string> files;
    for (int i = 1; i < argc; ++i) {
        const std::string word = argv[i];
        const bool has_value = i + 1 < argc;
        if (word == "--bin" && has_value)
            bin = argv[++i];
        else if (word == "--state" && has_value)
            state = argv[++i];
        else if (word == "--block" && has_value)
            block = std::atoi(argv[++i]);
        else if (word == "--seed" && has_value)
            seed = std::atoll(argv[++i]);
        else
            files.push_back(word);
    }
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
