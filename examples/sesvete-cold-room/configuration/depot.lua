-- Status pings of the depots' handhelds must never queue behind anything.
function decide(request)
  if request.path:ends_with("/status") then
    return { urgency = "urgent", deadline_seconds = 1 }
  end
  return { urgency = "normal", deadline_seconds = 5 }
end
