// The Lua library available to policy programs.
#pragma once

struct lua_State;

namespace chalkshed {

// Pushes the table of all globals of a program: assert, error, ipairs, select, tonumber, tostring,
// type, and the read-only tables math, string and table. Raises Lua errors.
void push_policy_library(lua_State* state);

}  // namespace chalkshed
