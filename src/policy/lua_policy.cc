#include "src/policy/lua_policy.h"

#include <cmath>
#include <cstdlib>
#include <limits>
#include <lua.hpp>
#include <utility>

#include "src/policy/lua_library.h"
#include "src/policy/urgency_names.h"

// Lua errors leave functions that run under lua_pcall by longjmp, so these functions must not hold
// objects with destructors.

namespace chalkshed {
namespace {

constexpr const char* kDecideFunction = "decide";
constexpr double kMaxDeadlineSeconds = 24.0 * 3600;
constexpr double kMaxWeight = 1e6;
constexpr size_t kMaxReasonLength = 256;
constexpr int kDecisionFields = 6;

struct LoadCall {
  const char* chunk_name;
  const std::string* source;
  int* environment_base;
  int* chunk;
};

struct DecideCall {
  int environment_base;
  int chunk;
  const RequestAttributes* request;
  PolicyDecision* decision;
};

void abort_on_instruction_limit(lua_State* state, lua_Debug* /*event*/) {
  luaL_error(state, "the policy ran for too many instructions");
}

int load_protected(lua_State* state) {
  const auto* call = static_cast<const LoadCall*>(lua_touserdata(state, 1));
  // The metatable of all environments: reads of undefined names are forwarded to the library.
  lua_newtable(state);
  push_policy_library(state);
  lua_setfield(state, -2, "__index");
  *call->environment_base = luaL_ref(state, LUA_REGISTRYINDEX);
  const std::string& source = *call->source;
  if (luaL_loadbufferx(state, source.data(), source.size(), call->chunk_name, "t") != LUA_OK) {
    return lua_error(state);
  }
  *call->chunk = luaL_ref(state, LUA_REGISTRYINDEX);
  return 0;
}

void set_string(lua_State* state, const char* name, const std::string& value) {
  lua_pushlstring(state, value.data(), value.size());
  lua_setfield(state, -2, name);
}

void set_integer(lua_State* state, const char* name, uint32_t value) {
  lua_pushinteger(state, value);
  lua_setfield(state, -2, name);
}

void set_boolean(lua_State* state, const char* name, bool value) {
  lua_pushboolean(state, value ? 1 : 0);
  lua_setfield(state, -2, name);
}

void push_request(lua_State* state, const RequestAttributes& request) {
  constexpr int kRequestFields = 10;
  lua_createtable(state, 0, kRequestFields);
  set_string(state, "service", request.service);
  set_string(state, "tenant", request.tenant);
  set_string(state, "model", request.model);
  set_string(state, "path", request.path);
  set_string(state, "urgency_hint", request.urgency_hint);
  set_integer(state, "prompt_tokens", request.prompt_tokens);
  set_integer(state, "max_tokens", request.max_tokens);
  set_boolean(state, "streamed", request.streamed);
  set_boolean(state, "batch", request.batch);
  if (request.deadline) {
    lua_pushnumber(state, static_cast<double>(request.deadline->count()) / 1e6);
    lua_setfield(state, -2, "deadline_seconds");
  }
}

// Reads a number field of the decision on top of the stack. @return whether it is set.
bool read_number(lua_State* state, const char* name, double minimum, double maximum,
                 double& target) {
  const int type = lua_getfield(state, -1, name);
  if (type != LUA_TNIL) {
    const double value =
        type == LUA_TNUMBER ? lua_tonumber(state, -1) : std::numeric_limits<double>::quiet_NaN();
    if (!(value >= minimum && value <= maximum)) {
      luaL_error(state, "decision field %s must be a number from %f to %f", name, minimum, maximum);
    }
    target = value;
  }
  lua_pop(state, 1);
  return type != LUA_TNIL;
}

void read_urgency(lua_State* state, PolicyDecision& decision) {
  const int type = lua_getfield(state, -1, "urgency");
  if (type != LUA_TNIL) {
    const auto urgency =
        type == LUA_TSTRING ? urgency_from_name(lua_tostring(state, -1)) : std::nullopt;
    if (!urgency) {
      luaL_error(state, "decision field urgency must be 'urgent', 'normal' or 'deferrable'");
    }
    decision.urgency = *urgency;
  }
  lua_pop(state, 1);
}

void read_refuse(lua_State* state, PolicyDecision& decision) {
  const int refuse = lua_getfield(state, -1, "refuse");
  if (refuse != LUA_TNIL && refuse != LUA_TBOOLEAN) {
    luaL_error(state, "decision field refuse must be true or false");
  }
  decision.refuse = lua_toboolean(state, -1) != 0;
  lua_pop(state, 1);
  const int reason = lua_getfield(state, -1, "refusal_reason");
  if (reason != LUA_TNIL) {
    size_t length = 0;
    const char* text = reason == LUA_TSTRING ? lua_tolstring(state, -1, &length) : nullptr;
    if (text == nullptr || length > kMaxReasonLength) {
      luaL_error(state, "decision field refusal_reason must be a string of at most %d bytes",
                 static_cast<int>(kMaxReasonLength));
    }
    decision.refusal_reason.assign(text, length);
  }
  lua_pop(state, 1);
}

bool is_decision_field(std::string_view name) {
  constexpr std::array<std::string_view, kDecisionFields> kNames = {
      "urgency", "deadline_seconds", "batch_fill", "batch_weight", "refuse", "refusal_reason"};
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

void reject_unknown_fields(lua_State* state) {
  lua_pushnil(state);
  while (lua_next(state, -2) != 0) {
    lua_pop(state, 1);
    if (lua_type(state, -1) != LUA_TSTRING) {
      luaL_error(state, "the decision has a key that is not a field name");
    }
    const char* name = lua_tostring(state, -1);
    if (!is_decision_field(name)) {
      luaL_error(state, "the decision has an unknown field: %s", name);
    }
  }
}

void read_decision(lua_State* state, PolicyDecision& decision) {
  if (!lua_istable(state, -1)) {
    luaL_error(state, "decide must return a table, not %s", luaL_typename(state, -1));
  }
  reject_unknown_fields(state);
  read_urgency(state, decision);
  double seconds = 0;
  if (read_number(state, "deadline_seconds", 0.001, kMaxDeadlineSeconds, seconds)) {
    decision.deadline = Duration(static_cast<int64_t>(std::llround(seconds * 1e6)));
  }
  read_number(state, "batch_fill", 0, 1, decision.batch_fill);
  read_number(state, "batch_weight", 0.001, kMaxWeight, decision.batch_weight);
  read_refuse(state, decision);
}

int decide_protected(lua_State* state) {
  const auto* call = static_cast<const DecideCall*>(lua_touserdata(state, 1));
  lua_rawgeti(state, LUA_REGISTRYINDEX, call->chunk);
  lua_newtable(state);
  lua_rawgeti(state, LUA_REGISTRYINDEX, call->environment_base);
  lua_setmetatable(state, -2);
  lua_pushvalue(state, -1);
  lua_setupvalue(state, -3, 1);  // _ENV, the only upvalue of a chunk
  lua_insert(state, -2);
  lua_call(state, 0, 0);
  if (lua_getfield(state, -1, kDecideFunction) != LUA_TFUNCTION) {
    luaL_error(state, "the policy defines no function decide(request)");
  }
  push_request(state, *call->request);
  lua_call(state, 1, 1);
  read_decision(state, *call->decision);
  return 0;
}

}  // namespace

LuaPolicy::LuaPolicy(std::string name, const PolicyKnobs& knobs)
    : name_(std::move(name)), knobs_(knobs) {
  memory_.max_used = knobs.memory_bytes;
  memory_.max_allocated = std::numeric_limits<size_t>::max();
}

LuaPolicy::~LuaPolicy() {
  if (state_ != nullptr) {
    lua_close(state_);
  }
}

void* LuaPolicy::allocate(void* memory, void* block, size_t old_size, size_t new_size) {
  auto* account = static_cast<Memory*>(memory);
  if (block == nullptr) {
    old_size = 0;  // for new blocks Lua passes the object type instead of a size
  }
  if (new_size == 0) {
    account->used -= old_size;
    std::free(block);
    return nullptr;
  }
  // Lua requires that shrinking never fails.
  if (new_size > old_size) {
    const size_t growth = new_size - old_size;
    if (account->used + growth > account->max_used ||
        account->allocated + growth > account->max_allocated) {
      return nullptr;
    }
    account->allocated += growth;
  }
  void* moved = std::realloc(block, new_size);
  if (moved != nullptr) {
    account->used = account->used + new_size - old_size;
  }
  return moved;
}

Error LuaPolicy::failure(const std::string& problem) const {
  return not_run(ErrorKind::kPolicyFailed, "policy " + name_ + ": " + problem,
                 "correct the policy and check it with: chalkshedctl configuration check");
}

Expected<std::unique_ptr<LuaPolicy>> LuaPolicy::load(const std::string& name,
                                                     const std::string& source,
                                                     const PolicyKnobs& knobs) {
  std::unique_ptr<LuaPolicy> policy(new LuaPolicy(name, knobs));
  if (source.size() > knobs.source_bytes) {
    return tl::unexpected(policy->failure("the program is longer than " +
                                          std::to_string(knobs.source_bytes) + " bytes"));
  }
  policy->state_ = lua_newstate(&LuaPolicy::allocate, &policy->memory_);
  lua_State* state = policy->state_;
  if (state == nullptr) {
    return tl::unexpected(policy->failure("out of memory while creating its interpreter"));
  }
  const std::string chunk_name = "=" + name;
  LoadCall call{chunk_name.c_str(), &source, &policy->environment_base_, &policy->chunk_};
  lua_pushcfunction(state, load_protected);
  lua_pushlightuserdata(state, &call);
  if (lua_pcall(state, 1, 0, 0) != LUA_OK) {
    const char* message = lua_tostring(state, -1);
    return tl::unexpected(policy->failure(message != nullptr ? message : "it cannot be loaded"));
  }
  return policy;
}

Expected<PolicyDecision> LuaPolicy::decide(const RequestAttributes& request) {
  PolicyDecision decision;
  DecideCall call{environment_base_, chunk_, &request, &decision};
  memory_.allocated = 0;
  memory_.max_allocated = knobs_.decision_allocated_bytes;
  // Setting the hook again also resets its instruction count.
  lua_sethook(state_, abort_on_instruction_limit, LUA_MASKCOUNT,
              static_cast<int>(knobs_.decision_instructions));
  lua_pushcfunction(state_, decide_protected);
  lua_pushlightuserdata(state_, &call);
  const int status = lua_pcall(state_, 1, 0, 0);
  memory_.max_allocated = std::numeric_limits<size_t>::max();
  if (status == LUA_OK) {
    return decision;
  }
  const char* message = lua_tostring(state_, -1);
  Error error = failure(status == LUA_ERRMEM ? "it used too much memory"
                        : message != nullptr ? message
                                             : "it raised an error that is not a string");
  lua_settop(state_, 0);
  lua_gc(state_, LUA_GCCOLLECT);
  return tl::unexpected(std::move(error));
}

}  // namespace chalkshed
