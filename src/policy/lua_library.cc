#include "src/policy/lua_library.h"

#include <cstring>
#include <lua.hpp>

namespace chalkshed {
namespace {

// tostring without object addresses, which would make results differ between nodes.
int address_free_tostring(lua_State* state) {
  const int type = lua_type(state, 1);
  if (type == LUA_TNUMBER || type == LUA_TSTRING || type == LUA_TBOOLEAN || type == LUA_TNIL) {
    luaL_tolstring(state, 1, nullptr);
  } else {
    lua_pushstring(state, lua_typename(state, type));
  }
  return 1;
}

// Lua patterns are not available: matching can take exponential time that the instruction count
// does not cover. These three functions cover the needs of policies.
int string_contains(lua_State* state) {
  size_t length = 0;
  size_t part_length = 0;
  const char* text = luaL_checklstring(state, 1, &length);
  const char* part = luaL_checklstring(state, 2, &part_length);
  lua_pushboolean(state, memmem(text, length, part, part_length) != nullptr ? 1 : 0);
  return 1;
}

int string_starts_with(lua_State* state) {
  size_t length = 0;
  size_t part_length = 0;
  const char* text = luaL_checklstring(state, 1, &length);
  const char* part = luaL_checklstring(state, 2, &part_length);
  const bool starts = part_length <= length && std::memcmp(text, part, part_length) == 0;
  lua_pushboolean(state, starts ? 1 : 0);
  return 1;
}

int string_ends_with(lua_State* state) {
  size_t length = 0;
  size_t part_length = 0;
  const char* text = luaL_checklstring(state, 1, &length);
  const char* part = luaL_checklstring(state, 2, &part_length);
  const bool ends =
      part_length <= length && std::memcmp(text + (length - part_length), part, part_length) == 0;
  lua_pushboolean(state, ends ? 1 : 0);
  return 1;
}

// Appends only: inserting in the middle moves elements without counting instructions.
int table_insert(lua_State* state) {
  luaL_checktype(state, 1, LUA_TTABLE);
  luaL_argcheck(state, lua_gettop(state) == 2, 2, "exactly one value to append is expected");
  lua_seti(state, 1, static_cast<lua_Integer>(lua_rawlen(state, 1)) + 1);
  return 0;
}

int reject_write(lua_State* state) { return luaL_error(state, "the library cannot be changed"); }

// Copies functions from the standard library at stack index `from` into the table on top of the
// stack.
void copy_functions(lua_State* state, int from, std::initializer_list<const char*> names) {
  for (const char* name : names) {
    lua_getfield(state, from, name);
    lua_setfield(state, -2, name);
  }
}

void add_function(lua_State* state, const char* name, lua_CFunction function) {
  lua_pushcfunction(state, function);
  lua_setfield(state, -2, name);
}

// Replaces the table on top of the stack by an empty proxy that forwards reads to it and rejects
// writes.
void make_read_only(lua_State* state) {
  lua_newtable(state);
  lua_newtable(state);
  lua_pushvalue(state, -3);
  lua_setfield(state, -2, "__index");
  add_function(state, "__newindex", reject_write);
  lua_setmetatable(state, -2);
  lua_remove(state, -2);
}

void push_string_library(lua_State* state) {
  luaL_requiref(state, LUA_STRLIBNAME, luaopen_string, 0);
  const int standard = lua_gettop(state);
  lua_newtable(state);
  copy_functions(state, standard, {"len", "lower", "upper", "sub"});
  add_function(state, "contains", string_contains);
  add_function(state, "starts_with", string_starts_with);
  add_function(state, "ends_with", string_ends_with);
  // String methods, as in request.path:starts_with("/v1"), are looked up in the same table.
  lua_pushliteral(state, "");
  lua_getmetatable(state, -1);
  lua_pushvalue(state, -3);
  lua_setfield(state, -2, "__index");
  lua_pop(state, 2);
  lua_remove(state, standard);
  make_read_only(state);
}

void push_math_library(lua_State* state) {
  luaL_requiref(state, LUA_MATHLIBNAME, luaopen_math, 0);
  const int standard = lua_gettop(state);
  lua_newtable(state);
  copy_functions(state, standard,
                 {"abs", "ceil", "floor", "fmod", "huge", "max", "min", "maxinteger", "mininteger",
                  "tointeger", "type"});
  lua_remove(state, standard);
  make_read_only(state);
}

}  // namespace

void push_policy_library(lua_State* state) {
  luaL_requiref(state, LUA_GNAME, luaopen_base, 0);
  const int standard = lua_gettop(state);
  lua_newtable(state);
  // Excludes pcall (it would catch the instruction limit error), pairs and next (their order
  // differs between nodes), metatables and load.
  copy_functions(state, standard, {"assert", "error", "ipairs", "select", "tonumber", "type"});
  lua_remove(state, standard);
  add_function(state, "tostring", address_free_tostring);
  push_string_library(state);
  lua_setfield(state, -2, "string");
  push_math_library(state);
  lua_setfield(state, -2, "math");
  lua_newtable(state);
  add_function(state, "insert", table_insert);
  make_read_only(state);
  lua_setfield(state, -2, "table");
}

}  // namespace chalkshed
