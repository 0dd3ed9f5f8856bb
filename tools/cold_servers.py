#!/usr/bin/env python3
"""How near all proxies together come to rule 4 on a day, from their logs (RUST_LOG=debug).

usage: cold_servers.py STANDING COLD_SHARE WARM_S MULTIPLE WINDOW_S FOLDER...
The first five are told by the settings; STANDING is the sum of what the shops have agreed on, in connections. For each
cold server the worst window: what was sent over N + 3 roots of N + 3, N being what these figures allow it then; and the
age at its start, what was sent, that in mean loads, N and the limit. Servers are warmer and sooner warm than told.
"""
import collections
import glob
import re
import sys

S, share, warm, mult, win = map(float, sys.argv[1:6])
L=re.compile(r"^(\d+\.\d+) \[(\w+) +([\w:]+)\] (.*)$")
for d in sys.argv[6:]:
    ev=[]
    for p in glob.glob(d+'/*.log'):
        for l in open(p):
            m=L.match(l)
            if m: ev.append((float(m[1]),m[4]))
    ev.sort(key=lambda e:e[0])
    h={};W={};st={};sent=collections.defaultdict(list);hs=[]
    total=0
    for t,x in ev:
        if m:=re.match(r"server (\w+) is (\w+) in zone (\d+), of weight ([\d.]+), started ([-\w.]+)",x):
            W[m[1]]=float(m[4]); 
            if m[5]!='inf': st[m[1]]=max(t-float(m[5]),st.get(m[1],-9))
            if t<1: total=sum(W.values())
        elif m:=re.match(r"(\w{16}): opens, OPEN \w+ (\w+) (\S+)",x):
            v=re.search(r'h=([\d.]+)',m[3]); h[m[1]]=float(v[1])/1e6 if v else 0; hs.append(h[m[1]])
        elif m:=re.match(r"(\w{16}): leg (\d+) to server (\w+)",x): sent[m[3]].append((t,h.get(m[1],0)))
    mean=sum(hs)/len(hs)
    out=[]
    for s in st:
        a=[(t-st[s],x/mean) for t,x in sent[s] if t>=st[s]]
        worst=0
        for i,(t0,_) in enumerate(a):
            n=sum(1 for t,_ in a[i:] if t<=t0+win); w=sum(x for t,x in a[i:] if t<=t0+win)
            if t0>warm: break
            N=mult*win*S*W[s]/total/warm*(share+(1-share)*min(1,t0/warm))
            lim=N+3*N**.5+3
            if n/lim>worst: worst=n/lim; at=(round(t0,1),n,round(w,1),round(N,1),round(lim,1))
        if worst: out.append((round(worst,2),s,W[s],at))
    print(d,'mean load %.4f'%mean); [print('   ',o) for o in sorted(out,reverse=True)[:5]]
