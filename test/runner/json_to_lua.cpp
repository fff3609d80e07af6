#include "json_to_lua.h"

#include <boost/json.hpp>
#include <lua.hpp>

namespace cassia::scenario {

void push_json(lua_State* lua, const boost::json::value& value) {
    switch (value.kind()) {
    case boost::json::kind::null:
        lua_pushnil(lua);
        return;
    case boost::json::kind::bool_:
        lua_pushboolean(lua, value.as_bool() ? 1 : 0);
        return;
    case boost::json::kind::int64:
        lua_pushinteger(lua, value.as_int64());
        return;
    case boost::json::kind::uint64:
        lua_pushinteger(lua, static_cast<lua_Integer>(value.as_uint64()));
        return;
    case boost::json::kind::double_:
        lua_pushnumber(lua, value.as_double());
        return;
    case boost::json::kind::string:
        lua_pushlstring(lua, value.as_string().data(), value.as_string().size());
        return;
    case boost::json::kind::array:
        lua_newtable(lua);
        for (std::size_t i = 0; i < value.as_array().size(); ++i) {
            push_json(lua, value.as_array()[i]);
            lua_rawseti(lua, -2, static_cast<lua_Integer>(i + 1));
        }
        return;
    case boost::json::kind::object:
        lua_newtable(lua);
        for (const boost::json::key_value_pair& member : value.as_object()) {
            lua_pushlstring(lua, member.key().data(), member.key().size());
            push_json(lua, member.value());
            lua_rawset(lua, -3);
        }
        return;
    }
}

static boost::json::value read_table(lua_State* lua, int index) {
    const std::size_t length = lua_rawlen(lua, index);
    if (length > 0) {
        boost::json::array out;
        for (std::size_t i = 1; i <= length; ++i) {
            lua_rawgeti(lua, index, static_cast<lua_Integer>(i));
            out.push_back(read_json(lua, lua_gettop(lua)));
            lua_pop(lua, 1);
        }
        return out;
    }
    boost::json::object out;
    lua_pushnil(lua);
    while (lua_next(lua, index) != 0) {
        lua_pushvalue(lua, -2);
        const std::string name = lua_tostring(lua, -1);
        lua_pop(lua, 1);
        out[name] = read_json(lua, lua_gettop(lua));
        lua_pop(lua, 1);
    }
    return out;
}

boost::json::value read_json(lua_State* lua, int index) {
    switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
        return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
        if (lua_isinteger(lua, index) != 0)
            return lua_tointeger(lua, index);
        return lua_tonumber(lua, index);
    case LUA_TSTRING:
        return boost::json::string(lua_tostring(lua, index));
    case LUA_TTABLE:
        return read_table(lua, index);
    default:
        return nullptr;
    }
}

} // namespace cassia::scenario
