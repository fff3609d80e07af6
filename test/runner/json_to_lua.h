/// JSON values as Lua values and back.
#pragma once

#include <boost/json/value.hpp>

struct lua_State;

namespace cassia::scenario {

void push_json(lua_State* lua, const boost::json::value& value);
boost::json::value read_json(lua_State* lua, int index);

} // namespace cassia::scenario
