-- Seat maps on the conductors' handhelds: late ones are of no use.
function decide(request)
  return { urgency = "urgent", deadline_seconds = 3 }
end
