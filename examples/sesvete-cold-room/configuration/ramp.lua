-- The Cold Room weighs the online tail: a late answer leaves a driver at the ramp with the doors
-- shut. So batch work takes little of each worker and is the first to go.

local batch_fill = 0.25
local short_prompt_tokens = 600

function decide(request)
  if request.batch then
    local weight = 1
    if request.tenant == "pallet-checks" then
      weight = 3
    end
    return { batch_fill = batch_fill, batch_weight = weight }
  end
  if request.tenant == "reports" then
    return { urgency = "deferrable", batch_fill = batch_fill }
  end
  local urgent = request.tenant == "alarm-desk"
      or request.urgency_hint == "urgent"
      or request.prompt_tokens <= short_prompt_tokens
  if urgent then
    return { urgency = "urgent", deadline_seconds = 8, batch_fill = batch_fill }
  end
  return { urgency = "normal", deadline_seconds = 20, batch_fill = batch_fill }
end
