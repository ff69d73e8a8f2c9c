-- Seat Desk weighs batch throughput: stranded travellers wait for their rebooking notes. So batch
-- work may fill much of every worker, while short questions of travellers still never wait.

local batch_fill = 0.85
local short_prompt_tokens = 400
local short_answer_tokens = 200

function decide(request)
  if request.batch then
    local weight = 1
    if request.tenant == "disruption-desk" then
      weight = 4
    end
    return { batch_fill = batch_fill, batch_weight = weight }
  end
  if request.tenant == "back-office" then
    return { urgency = "deferrable", deadline_seconds = 60, batch_fill = batch_fill }
  end
  local short = request.prompt_tokens <= short_prompt_tokens
      and request.max_tokens <= short_answer_tokens
  if short or request.urgency_hint == "urgent" then
    return { urgency = "urgent", deadline_seconds = 10, batch_fill = batch_fill }
  end
  return { urgency = "normal", deadline_seconds = 60, batch_fill = batch_fill }
end
