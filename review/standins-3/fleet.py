"""Small stand-ins of the platform's store and of targets, and a runner of
forwarding daemons; standard library only."""
import asyncio, base64, json, os, random, signal, socket, subprocess, sys, tempfile, time, hashlib, urllib.parse

def free_ports(n):
    socks=[]
    for _ in range(n):
        s=socket.socket(); s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR,1); s.bind(('127.0.0.1',0)); socks.append(s)
    ports=[s.getsockname()[1] for s in socks]
    for s in socks: s.close()
    return ports

async def read_head(r):
    data=await r.readuntil(b'\r\n\r\n')
    lines=data.decode('latin-1').split('\r\n')
    return lines[0], [(l.split(':',1)[0].strip(), l.split(':',1)[1].strip()) for l in lines[1:] if l]

def field(hs,name):
    for k,v in hs:
        if k.lower()==name.lower(): return v
    return None

async def read_body(r,hs):
    if (field(hs,'Transfer-Encoding') or '').lower()=='chunked':
        out=b''
        while True:
            size=int((await r.readline()).split(b';')[0],16)
            if size==0:
                while (await r.readline()).strip(): pass
                return out
            out+=await r.readexactly(size); await r.readexactly(2)
    n=int(field(hs,'Content-Length') or 0)
    return await r.readexactly(n) if n else b''

class Store:
    def __init__(self): 
        self.items={}; self.rev=10; self.events=[]; self.leases={}; self.next=1; self.cond=asyncio.Condition(); self.calls=0
        self.hook=None; self.port=None; self.conns=set()
    async def start(self):
        self.server=await asyncio.start_server(self.serve,'127.0.0.1',0); self.port=self.server.sockets[0].getsockname()[1]
        self.task=asyncio.ensure_future(self.expire())
    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for l,(ttl,end) in list(self.leases.items()):
                if time.monotonic()>end: await self.end_lease(l)
    async def end_lease(self,l):
        self.leases.pop(l,None)
        for k in [k for k,i in self.items.items() if i['lease']==l]: self.delete(k)
        async with self.cond: self.cond.notify_all()
    def put(self,k,v,lease=0):
        self.rev+=1
        if isinstance(v,(dict,list)): v=json.dumps(v).encode()
        old=self.items.get(k)
        it={'key':k,'value':base64.b64encode(v).decode(),'revision':self.rev,'createRevision':old['createRevision'] if old else self.rev,'lease':lease}
        self.items[k]=it; self.events.append((self.rev,it)); return self.rev
    def delete(self,k):
        if k in self.items:
            del self.items[k]; self.rev+=1; self.events.append((self.rev,{'key':k,'revision':self.rev,'deleted':True}))
    async def write(self,k,v):
        self.put(k,v)
        async with self.cond: self.cond.notify_all()
    async def remove(self,k):
        self.delete(k)
        async with self.cond: self.cond.notify_all()
    async def serve(self,r,w):
        self.conns.add(w)
        try:
            while True:
                line,hs=await read_head(r); body=await read_body(r,hs); self.calls+=1
                m,t,_=line.split(' ',2)
                if self.hook:
                    act=await self.hook(m,t,body)
                    if act=='drop': w.transport.abort(); return
                    if act=='silent': await asyncio.sleep(3600)
                    if isinstance(act,int):
                        w.write(f'HTTP/1.1 {act} X\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{{}}'.encode()); await w.drain(); continue
                    if act=='lost':
                        await self.handle(m,t,body); await asyncio.sleep(3600)
                st,out=await self.handle(m,t,body)
                await asyncio.sleep(0.002)
                data=json.dumps(out).encode()
                w.write(f'HTTP/1.1 {st} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n'.encode()+data); await w.drain()
        except (asyncio.IncompleteReadError,ConnectionError,asyncio.CancelledError): pass
        finally: self.conns.discard(w); w.close()
    async def handle(self,m,t,body):
        u=urllib.parse.urlsplit(t); q=dict(urllib.parse.parse_qsl(u.query,keep_blank_values=True)); p=u.path
        if p=='/-/kv-range':
            ks=sorted(k for k in self.items if k.startswith(q.get('prefix','')) and k>q.get('after',''))
            return 200,{'items':[self.items[k] for k in ks[:500]],'hasMore':len(ks)>500,'asOf':self.rev}
        if p=='/-/kv-key':
            it=self.items.get(q['key']); return (200,dict(it,asOf=self.rev)) if it else (404,{})
        if p=='/-/kv-watch':
            after=int(q['after']); end=time.monotonic()+int(q['waitMs'])/1000
            while True:
                ev=[e for rv,e in self.events if rv>after and e['key'].startswith(q.get('prefix',''))]
                left=end-time.monotonic()
                if ev or left<=0: return 200,{'events':ev,'asOf':self.rev}
                async with self.cond:
                    try: await asyncio.wait_for(self.cond.wait(),left)
                    except asyncio.TimeoutError: pass
        if p=='/-/kv-txn':
            b=json.loads(body)
            for e in b['expect']:
                have=self.items.get(e['key']); 
                if (have['revision'] if have else 0)!=e['revision']: return 412,{'items':[self.items[x['key']] for x in b['expect'] if x['key'] in self.items]}
            for x in b['puts']:
                if x.get('lease') and x['lease'] not in self.leases: return 404,{}
            for x in b['puts']: self.put(x['key'],base64.b64decode(x['value']),x.get('lease',0))
            for k in b['deletes']: self.delete(k)
            async with self.cond: self.cond.notify_all()
            return 200,{'revision':self.rev}
        if p=='/-/kv-lease':
            ttl=json.loads(body)['ttlMs']; l=self.next; self.next+=1; self.leases[l]=(ttl,time.monotonic()+ttl/1000); return 200,{'lease':l,'ttlMs':ttl}
        if p.startswith('/-/kv-keep/'):
            l=int(p.rsplit('/',1)[1])
            if l not in self.leases: return 404,{}
            ttl=self.leases[l][0]; self.leases[l]=(ttl,time.monotonic()+ttl/1000); return 200,{'ttlMs':ttl}
        if p.startswith('/-/kv-lease-end/'):
            await self.end_lease(int(p.rsplit('/',1)[1])); return 200,{}
        return 404,{}

def records(service,rid,n=12):
    return b''.join(hashlib.sha256(f'{service}/{rid}/{i}'.encode()).digest()[:16] for i in range(n))

class Target:
    """One backend. behave(target, request) may return a replacement coroutine."""
    def __init__(self,fleet,service,iid,zone,slots=8):
        self.f=fleet; self.service=service; self.id=iid; self.zone=zone; self.slots=slots; self.seq=1; self.born=int(time.time()*1000); self.sem=asyncio.Semaphore(slots); self.behave=None; self.work=0.003; self.conns=set()
    async def start(self,port=0):
        self.server=await asyncio.start_server(self.serve,'127.0.0.1',port); self.port=self.server.sockets[0].getsockname()[1]
    async def stop(self):
        self.server.close()
        for w in list(self.conns): w.transport.abort()
    def entry(self,state='ready'):
        self.seq+=1
        return {'service':self.service,'address':f'127.0.0.1:{self.port}','zone':self.zone,'version':'v1','slots':self.slots,'state':state,'warmupLeftMs':0,'seq':self.seq,'born':self.born}
    async def register(self,state='ready'): await self.f.store.write('servers/'+self.id,self.entry(state))
    def stamp(self,rid): return f'{self.id}.{hashlib.md5((self.service+rid).encode()).hexdigest()[:8]}'
    def body(self,rid): return records(self.service,rid) if self.service.startswith('shard') else f'answer of {self.service} to {rid} '.encode()*8
    async def serve(self,r,w):
        self.conns.add(w)
        try:
            while True:
                line,hs=await read_head(r); m,t,_=line.split(' ',2); rid=field(hs,'Wasabispread-Request-Id')
                req={'m':m,'t':t,'hs':hs,'rid':rid,'time':time.monotonic()}
                if self.behave:
                    done=await self.behave(self,req,r,w)
                    if done=='end': return
                    if done: continue
                req['body']=await read_body(r,hs)
                if not await self.check(req,w): continue
                self.ran(req)
                async with self.sem: await asyncio.sleep(self.work)
                self.reply(req,w); await w.drain()
        except (asyncio.IncompleteReadError,ConnectionError,asyncio.CancelledError,ValueError): pass
        finally: self.conns.discard(w); w.close()
    async def check(self,req,w):
        exp=field(req['hs'],'Wasabispread-Expect-Instance')
        if exp and exp!=self.id:
            w.write(f"HTTP/1.1 421 Misdirected\r\nWasabispread-Request-Id: {req['rid']}\r\nWasabispread-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()); await w.drain(); return False
        return True
    def ran(self,req): self.f.runs.append(dict(rid=req['rid'],id=self.id,service=self.service,m=req['m'],t=req['t'],body=hashlib.md5(req.get('body',b'')).hexdigest(),time=time.monotonic(),tenant=field(req['hs'],'Wasabispread-Tenant')))
    def reply(self,req,w,status='200 OK',extra=''):
        b=self.body(req['rid'])
        w.write(f"HTTP/1.1 {status}\r\nWasabispread-Request-Id: {req['rid']}\r\nWasabispread-Server-Stamp: {self.stamp(req['rid'])}\r\n{extra}Content-Length: {len(b)}\r\n\r\n".encode()+(b if req['m']!='HEAD' else b''))

class Fleet:
    def __init__(self,zones=('z1',),share=0.25,extra='',grace=6,program=None):
        self.zones=zones; self.runs=[]; self.targets={}; self.vms=[]; self.dir=tempfile.mkdtemp(prefix='ws-'); self.extra=extra; self.grace=grace; self.share=share
        self.program=program or os.environ.get('WS_PROGRAM','target/wasabispreadd'); self.version=1
    async def start(self):
        self.store=Store(); await self.store.start()
    async def add_target(self,service,iid,zone='z1',**kw):
        t=Target(self,service,iid,zone,**kw); await t.start(); self.targets[iid]=t; await t.register(); return t
    async def configure(self,routes,services,limits=None,**more):
        self.version+=3
        c={'version':self.version,'routes':routes,'services':services,'limits':limits or {'maxHeaderBytes':16384,'maxBodyBytes':262144,'headerTimeoutMs':3000,'idleTimeoutMs':15000}}; c.update(more)
        await self.store.write('op/config',c); return self.version
    def start_vm(self,i):
        while len(self.vms)<=i: self.vms.append(None)
        vm=self.vms[i]
        if vm is None:
            p=free_ports(3); vm={'ports':p,'name':f'vm-{i}','zone':self.zones[i]}; self.vms[i]=vm
            vm['file']=f'{self.dir}/vm-{i}.toml'; self.write_settings(i)
        env={'PATH':os.environ['PATH'],'WASABISPREAD_EXTRA_SETTINGS':'memory_megabytes = 260\n'+self.extra+'[regions]\n'+''.join(f'{z} = "r"\n' for z in sorted(set(self.zones)))}
        vm['log']=open(f'{self.dir}/vm-{i}.log','ab')
        vm['p']=subprocess.Popen([self.program,'--forward','--settings',vm['file']],stdout=vm['log'],stderr=vm['log'],env=env)
    def write_settings(self,i):
        vm=self.vms[i]; p=vm['ports']
        open(vm['file'],'w').write(f'''name = "{vm['name']}"\nzone = "{vm['zone']}"\nstore = "127.0.0.1:{vm.get('store',self.store.port)}"\nprocessor_share = {self.share}\nstop_grace_seconds = {self.grace}\n[listen]\ncallers = "127.0.0.1:{p[0]}"\nreadiness = "127.0.0.1:{p[1]}"\npeers = "127.0.0.1:{p[2]}"\n[repeats]\nshare = 0.2\nfixed = 54\nwindow_seconds = 10\n''')
    async def ready(self,i,wait=15):
        end=time.monotonic()+wait
        while time.monotonic()<end:
            try:
                r,w=await asyncio.open_connection('127.0.0.1',self.vms[i]['ports'][1]); w.write(b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n'); l=await asyncio.wait_for(r.readline(),2); w.close()
                if b' 200' in l: return True
            except (OSError,asyncio.TimeoutError): pass
            await asyncio.sleep(0.1)
        return False
    def kill_all(self):
        for vm in self.vms:
            if vm and vm['p'].poll() is None: vm['p'].kill()
        for vm in self.vms:
            if vm: vm['p'].wait()

async def read_response(r,head=False):
    while True:
        line,hs=await read_head(r); st=int(line.split(' ')[1])
        if st>=200: break
    if head or st in (204,304): return st,hs,b''
    if field(hs,'Transfer-Encoding') or field(hs,'Content-Length') is not None: b=await read_body(r,hs)
    else: b=await r.read()
    return st,hs,b
